#include "batch/job_progress.hpp"

#include <utility>

namespace eelgrassdoor::batch {

void job_progress::restore(const item_entry& entry) {
    if (entry.is_intent) {
        m_intents.insert(entry.index);
        return;
    }
    if (m_done.add(entry.index)) {
        m_failed += entry.failed ? 1 : 0;
    }
}

std::vector<std::uint64_t> job_progress::take_unresolved_intents() {
    std::vector<std::uint64_t> out;
    for (const std::uint64_t index : m_intents) {
        if (!m_done.contains(index)) {
            out.push_back(index);
        }
    }
    m_intents.clear();
    return out;
}

std::optional<std::uint64_t> job_progress::next() {
    if (!m_retry_queue.empty()) {
        const std::uint64_t index = m_retry_queue.front();
        m_retry_queue.pop_front();
        m_in_flight.insert(index);
        return index;
    }
    while (m_cursor < m_item_count) {
        const std::uint64_t index = m_cursor++;
        if (!m_done.contains(index)) {
            m_in_flight.insert(index);
            return index;
        }
    }
    return std::nullopt;
}

void job_progress::requeue(std::uint64_t index) {
    m_in_flight.erase(index);
    m_retry_queue.push_front(index);
}

bool job_progress::record_attempt(std::uint64_t index, attempt_outcome outcome, bool idempotent) {
    m_in_flight.erase(index);
    switch (outcome) {
    case attempt_outcome::answered:
        return false;
    case attempt_outcome::not_run:
    case attempt_outcome::yielded:
        m_retry_queue.push_back(index);
        return false;
    case attempt_outcome::failed:
        break;
    }
    if (!idempotent || ++m_attempts[index] >= max_attempts) {
        return true;
    }
    m_retry_queue.push_back(index);
    return false;
}

bool job_progress::add_result(item_entry entry) {
    m_in_flight.erase(entry.index);
    if (!m_done.add(entry.index)) {
        return false;
    }
    m_attempts.erase(entry.index);
    m_failed += entry.failed ? 1 : 0;
    m_uncommitted.push_back(std::move(entry));
    return true;
}

void job_progress::add_intent(std::uint64_t index) {
    m_uncommitted.push_back({index, true, false, {}});
}

std::vector<std::uint64_t> job_progress::remove_committed(std::size_t count) {
    std::vector<std::uint64_t> intents;
    for (std::size_t i = 0; i < count; ++i) {
        if (m_uncommitted.front().is_intent) {
            intents.push_back(m_uncommitted.front().index);
        }
        m_uncommitted.pop_front();
    }
    return intents;
}

} // namespace eelgrassdoor::batch
