#include "limits/token_wait_queue.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

void token_line::remove(const waiter_ptr& waiter) {
    (waiter->is_late ? m_late : m_in_time).remove(waiter);
}

void token_line::insert_late(const waiter_ptr& waiter) {
    const auto longer = std::find_if(m_late.begin(), m_late.end(), [&](const waiter_ptr& each) {
        return each->until > waiter->until;
    });
    m_late.insert(longer, waiter);
}

void token_line::keep_until(const waiter_ptr& waiter, time_point until) {
    waiter->until = until;
    if (waiter->is_late) {
        m_late.remove(waiter);
        insert_late(waiter);
    }
}

bool token_line::note_time(time_point now) {
    // Requests of routes with other objectives are not late in the order in which they came.
    std::list<waiter_ptr> late;
    for (auto it = m_in_time.begin(); it != m_in_time.end();) {
        const auto next = std::next(it);
        if ((*it)->late_at <= now) {
            late.splice(late.end(), m_in_time, it);
        }
        it = next;
    }
    for (const waiter_ptr& waiter : late) {
        waiter->is_late = true;
        insert_late(waiter);
    }
    return !late.empty();
}

void token_line::wake_first() const {
    if (!empty()) {
        first()->wake();
    }
}

std::size_t token_line::ahead_of(const waiter_ptr& waiter) const {
    const std::list<waiter_ptr>& own = waiter->is_late ? m_late : m_in_time;
    const auto place = std::find(own.begin(), own.end(), waiter);
    const auto before = static_cast<std::size_t>(std::distance(own.begin(), place));
    return before + (waiter->is_late ? m_in_time.size() : 0);
}

} // namespace eelgrassdoor::limits
