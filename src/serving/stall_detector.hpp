/// \file
/// Defines how a request that waits too long for the first byte of its answer is noticed.
#pragma once

#include "serving/service_context.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor::serving {

/// While it lives, a request waits for its first byte; after stall_time the target counts as
/// stalled until the watch ends. Targets that hang are passed over so before any deadline passes,
/// also by the daemons that have not asked them yet.
class stall_watch {
public:
    /// Twice the shortest latency objective of the users. A request that waits inside a full target
    /// starts far sooner.
    static constexpr duration stall_time = milliseconds(600);

    stall_watch(host_context& context, std::string target);
    ~stall_watch();
    stall_watch(const stall_watch&) = delete;
    stall_watch& operator=(const stall_watch&) = delete;

private:
    /// Outlives the watch when the timer has fired but its handler has not run yet.
    struct state {
        explicit state(const net::asio::any_io_executor& executor) : timer(executor) {}
        net::asio::steady_timer timer;
        bool stalled = false;
        bool ended = false;
    };

    host_context& m_context;
    std::string m_target;
    std::shared_ptr<state> m_state;
};

} // namespace eelgrassdoor::serving
