/// \file
/// Detects targets that do not begin to respond to a request in time.
#pragma once

#include "serving/service_context.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor::serving {

/// Covers, by its lifetime, the wait of one request for the first byte of its response. After
/// stall_timeout the target is reported as stalled, to other daemons as well, until the object is
/// destroyed, so that routing avoids a hanging target before any request deadline passes. Runs on
/// the event loop's thread.
class stall_detector {
public:
    /// Twice the shortest latency objective in use, and far longer than a request waits in the
    /// queue of a full target.
    static constexpr duration stall_timeout = milliseconds(600);

    stall_detector(service_context& context, std::string target);
    ~stall_detector();
    stall_detector(const stall_detector&) = delete;
    stall_detector& operator=(const stall_detector&) = delete;

private:
    /// Shared with the timer's handler, which may run after the detector was destroyed.
    struct state {
        explicit state(const net::asio::any_io_executor& executor) : timer(executor) {}
        net::asio::steady_timer timer;
        bool stalled = false;
        bool ended = false;
    };

    service_context& m_context;
    std::string m_target;
    std::shared_ptr<state> m_state;
};

} // namespace eelgrassdoor::serving
