/// \file
/// Defines in which order requests wait for tokens of one customer's rate. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace eelgrassdoor::limits {

/// A request that waits for a token.
struct token_waiter {
    /// From then on its answer can no longer begin in time.
    time_point late_at{};
    /// When it gives up, or when it is decided whether it waits on.
    time_point until{};
    bool is_late = false;
    /// Called when the waiter may be the one that gets the next token.
    std::function<void()> wake;
};

/// Requests that can be in time go first, in the order in which they came. Those that are late
/// anyway get what is left, the ones with the least time first: in a pulse above the rate, one
/// common order would make every request late.
class token_line {
public:
    using waiter_ptr = std::shared_ptr<token_waiter>;

    void join(waiter_ptr waiter) { m_in_time.push_back(std::move(waiter)); }
    void remove(const waiter_ptr& waiter);
    /// Lets the request wait until \p until.
    void keep_until(const waiter_ptr& waiter, time_point until);
    /// Moves requests behind the others that can no longer be in time. True when any was moved.
    bool note_time(time_point now);

    [[nodiscard]] bool empty() const { return m_in_time.empty() && m_late.empty(); }
    [[nodiscard]] bool any_in_time() const { return !m_in_time.empty(); }
    /// The one that gets the next token; there must be one.
    [[nodiscard]] const waiter_ptr& first() const {
        return m_in_time.empty() ? m_late.front() : m_in_time.front();
    }
    /// Wakes the first one, if any waits.
    void wake_first() const;
    /// How many get a token before \p waiter, if no others come.
    [[nodiscard]] std::size_t ahead_of(const waiter_ptr& waiter) const;

private:
    void insert_late(const waiter_ptr& waiter);

    std::list<waiter_ptr> m_in_time;
    std::list<waiter_ptr> m_late;
};

} // namespace eelgrassdoor::limits
