#include "limits/token_wait_queue.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

void token_wait_queue::remove(const waiter_ptr& waiter) {
    (waiter->is_late ? m_late : m_on_time).remove(waiter);
}

void token_wait_queue::insert_late(const waiter_ptr& waiter) {
    const auto longer = std::find_if(m_late.begin(), m_late.end(), [&](const waiter_ptr& each) {
        return each->wait_deadline > waiter->wait_deadline;
    });
    m_late.insert(longer, waiter);
}

void token_wait_queue::extend_wait(const waiter_ptr& waiter, time_point wait_deadline) {
    waiter->wait_deadline = wait_deadline;
    if (waiter->is_late) {
        m_late.remove(waiter);
        insert_late(waiter);
    }
}

bool token_wait_queue::demote_late(time_point now) {
    // Deadlines are not in order of arrival, because routes have different latency objectives.
    std::list<waiter_ptr> late;
    for (auto it = m_on_time.begin(); it != m_on_time.end();) {
        const auto next = std::next(it);
        if ((*it)->on_time_deadline <= now) {
            late.splice(late.end(), m_on_time, it);
        }
        it = next;
    }
    for (const waiter_ptr& waiter : late) {
        waiter->is_late = true;
        insert_late(waiter);
    }
    return !late.empty();
}

void token_wait_queue::wake_first() const {
    if (!empty()) {
        first()->wake();
    }
}

std::size_t token_wait_queue::ahead_of(const waiter_ptr& waiter) const {
    const std::list<waiter_ptr>& own = waiter->is_late ? m_late : m_on_time;
    const auto place = std::find(own.begin(), own.end(), waiter);
    const auto before = static_cast<std::size_t>(std::distance(own.begin(), place));
    return before + (waiter->is_late ? m_on_time.size() : 0);
}

} // namespace eelgrassdoor::limits
