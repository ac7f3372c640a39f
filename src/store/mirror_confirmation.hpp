/// \file
/// Defines the confirmation that a replica is recent enough for a decision.
#pragma once

#include "base/clock.hpp"
#include "net/notification.hpp"

#include <functional>
#include <list>
#include <memory>

namespace eelgrassdoor::store {

/// Answers whether a replica holds everything that the store had acknowledged at some moment, and
/// asks the store if that is not known. A decision that rests on what a replica does not hold needs
/// this: the replica of a daemon that was stopped or cut off misses what was written meanwhile.
/// The age of an answer counts from the start of its call, since an answer may have waited at a
/// stopped daemon. Callers share calls. Not thread-safe: runs on the executor given at
/// construction.
class mirror_confirmation {
public:
    /// Brings the replica up to date; false when the store does not answer.
    using refresh_fn = std::function<net::task<bool>()>;

    /// Limit of the wait for the store.
    static constexpr duration timeout = milliseconds(500);
    /// Time after the start of a failed call in which no other one is made.
    static constexpr duration retry_interval = milliseconds(500);

    mirror_confirmation(net::asio::any_io_executor executor, clock_fn clock, refresh_fn refresh)
        : m_executor(std::move(executor)), m_clock(std::move(clock)),
          m_refresh(std::move(refresh)) {}

    /// Returns true once the replica holds everything acknowledged before \p since, false when
    /// that cannot be confirmed within the timeout.
    net::task<bool> confirm(time_point since);
    /// Whether the replica is known, without a call, to hold everything acknowledged before
    /// \p since.
    [[nodiscard]] bool is_confirmed(time_point since) const { return m_confirmed_from >= since; }

private:
    /// Whether no call may be made because one that would do has failed a moment ago.
    [[nodiscard]] bool has_failed(time_point since) const;
    net::task<> call();

    net::asio::any_io_executor m_executor;
    clock_fn m_clock;
    refresh_fn m_refresh;
    bool m_is_calling = false;
    /// Start of the latest call that succeeded, and of the latest one that failed.
    time_point m_confirmed_from = time_point::min();
    time_point m_failed_from = time_point::min();
    std::list<std::shared_ptr<net::notification>> m_waiting;
};

} // namespace eelgrassdoor::store
