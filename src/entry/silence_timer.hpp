/// \file
/// Defines the timer that tells when a target has been silent for too long.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <functional>
#include <memory>

namespace eelgrassdoor::entry {

/// Calls a function once restart() has not been called for a while, and again at intervals until
/// the next restart(). Destruction ends the calls. Runs on the event loop's thread.
class silence_timer {
public:
    /// \p timeout: silence before the first call. \p interval: time between further calls.
    silence_timer(const net::asio::any_io_executor& executor, clock_fn clock, duration timeout,
                  duration interval, std::function<void()> on_silence);
    ~silence_timer();
    silence_timer(const silence_timer&) = delete;
    silence_timer& operator=(const silence_timer&) = delete;

    /// Begins a new silence. Costs no system call, as it only moves the time of the next call.
    void restart();

private:
    /// Shared with the timer's handler, which may run after the object was destroyed.
    struct state {
        net::asio::steady_timer timer;
        clock_fn clock;
        duration timeout;
        duration interval;
        std::function<void()> on_silence;
        time_point next_call;
        bool ended = false;
    };
    static void arm(const std::shared_ptr<state>& shared);

    std::shared_ptr<state> m_state;
};

} // namespace eelgrassdoor::entry
