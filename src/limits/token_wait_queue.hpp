/// \file
/// Defines in which order requests wait for tokens of one customer's rate. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace eelgrassdoor::limits {

/// A request that waits for a token.
struct token_waiter {
    /// After this time the response can no longer start within the latency objective.
    time_point on_time_deadline{};
    /// End of the wait. The caller then rejects the request or calls extend_wait(); the queue
    /// itself removes no request.
    time_point wait_deadline{};
    /// Whether demote_late() has moved the request to the late ones.
    bool is_late = false;
    /// Called when the request is first in the queue and a token may be available. Must be set.
    std::function<void()> wake;
};

/// The requests that wait for tokens of one customer's rate. Requests that can still meet their
/// latency objective are served first, in order of arrival.
/// Late requests get the remaining tokens, in the order of `wait_deadline`. With one common order,
/// a load peak above the rate would make every request late. Not thread-safe.
class token_wait_queue {
public:
    using waiter_ptr = std::shared_ptr<token_waiter>;

    /// Adds a request that is not late.
    void enqueue(waiter_ptr waiter) { m_on_time.push_back(std::move(waiter)); }
    /// Removes a request, which must be in the queue.
    void remove(const waiter_ptr& waiter);
    /// Changes the end of the wait of a request in the queue. A late request moves to its place in
    /// the order of `wait_deadline`.
    void extend_wait(const waiter_ptr& waiter, time_point wait_deadline);
    /// Moves requests whose on_time_deadline is at or before \p now to the late ones. Returns
    /// whether any was moved. Until it is called, such requests keep their place.
    bool demote_late(time_point now);

    [[nodiscard]] bool empty() const { return m_on_time.empty() && m_late.empty(); }
    /// Whether the queue has a request that is not late.
    [[nodiscard]] bool has_on_time() const { return !m_on_time.empty(); }
    /// The request that gets the next token. The queue must not be empty.
    [[nodiscard]] const waiter_ptr& first() const {
        return m_on_time.empty() ? m_late.front() : m_on_time.front();
    }
    /// Wakes the first request, if there is one.
    void wake_first() const;
    /// The number of queued requests that are served before \p waiter, which must be in the queue.
    [[nodiscard]] std::size_t ahead_of(const waiter_ptr& waiter) const;

private:
    /// Inserts a late request in the order of `wait_deadline`.
    void insert_late(const waiter_ptr& waiter);

    /// In order of arrival.
    std::list<waiter_ptr> m_on_time;
    /// In the order of `wait_deadline`.
    std::list<waiter_ptr> m_late;
};

} // namespace eelgrassdoor::limits
