/// \file
/// Defines an event that one coroutine waits for.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

namespace eelgrassdoor::net {

/// An auto-reset event for one waiting coroutine. A notify() before the wait ends that wait at
/// once. Must be used on the thread of its event loop.
class notification {
public:
    explicit notification(const asio::any_io_executor& executor) : m_timer(executor) {}

    /// Wakes the waiting coroutine, or else ends the next wait at once.
    void notify() {
        m_notified = true;
        m_timer.cancel();
    }

    /// Waits for notify() until \p deadline. Returns whether it was notified, and resets the event.
    task<bool> wait_until(time_point deadline) {
        if (!m_notified) {
            io_error ec;
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(store_error(ec));
        }
        co_return std::exchange(m_notified, false);
    }

private:
    asio::steady_timer m_timer;
    bool m_notified = false;
};

/// Waits for \p delay.
inline task<> sleep_for(duration delay) {
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    io_error ec;
    co_await timer.async_wait(store_error(ec));
}

} // namespace eelgrassdoor::net
