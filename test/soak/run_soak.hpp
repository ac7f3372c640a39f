/// \file
/// Defines how the program of a soak runs it.
#pragma once

#include "check.hpp"
#include "net/asio.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>

namespace eelgrassdoor::test {

/// Empties \p folder, calls \p start with the event loop, runs the soak that it starts, and exits
/// the process with the result of the checks. What \p start creates must live on: suspended
/// coroutines refer to it. The daemons end with this process.
[[noreturn]] inline void
run_soak(const char* folder, const std::function<net::task<>(net::asio::io_context& loop)>& start) {
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    net::asio::io_context loop{1};
    net::asio::co_spawn(loop, start(loop), [&](const std::exception_ptr& failure) {
        require(failure == nullptr, "the soak throws no exception");
        loop.stop();
    });
    loop.run();
    const int status = finish();
    std::fflush(stdout);
    std::_Exit(status);
}

} // namespace eelgrassdoor::test
