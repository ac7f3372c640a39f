/// \file
/// Entry point of the daemon: reads the settings and runs until SIGTERM or SIGINT.
#include "daemon/host_daemon.hpp"
#include "observe/log.hpp"
#include "settings/daemon_settings.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

extern char** environ;

namespace {

using namespace eelgrassdoor;

std::vector<std::string> environment() {
    std::vector<std::string> out;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        out.emplace_back(*entry);
    }
    return out;
}

/// Converts a validated --log-severity.
observe::severity parse_severity(const std::string& name) {
    if (name == "info") {
        return observe::severity::info;
    }
    return name == "warning" ? observe::severity::warning : observe::severity::error;
}

/// Blocks the signals that end the daemon in all threads started later, so that run() can wait for
/// them. Ignores SIGPIPE, as writes to closed connections report an error. Returns the blocked set.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Largest block in bytes that the allocator keeps for reuse by the thread that freed it.
constexpr int max_kept_block = 1 << 20;

/// Runs the daemon until it is told to end; returns the exit status.
int run(const settings::daemon_settings& settings) {
    const sigset_t signals = block_signals();
    // Without it, freed bodies of up to 32 MiB stay in the heap of each thread that served one.
    mallopt(M_MMAP_THRESHOLD, max_kept_block);
    observe::init_log(parse_severity(settings.log_severity));
    host_daemon d(settings);
    if (!d.start()) {
        std::cerr << "cannot listen on " << settings.address << ", HTTP port " << settings.http_port
                  << " or peer port " << settings.peer_port << "\n";
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(&signals, &received);
    d.drain();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = settings::parse_daemon_settings(arguments, environment());
    if (const auto* information = std::get_if<settings::information_request>(&parsed)) {
        std::cout << information->text;
        return EXIT_SUCCESS;
    }
    if (const auto* findings = std::get_if<std::vector<finding>>(&parsed)) {
        std::cerr << to_text(*findings);
        return EXIT_FAILURE;
    }
    return run(std::get<settings::daemon_settings>(parsed));
}
