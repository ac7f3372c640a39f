#include "net/outgoing_memory.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::net {

namespace {

/// A response may have one part in this many of the memory that is left.
constexpr std::size_t responses_per_room = 16;
/// A response that has just begun is ranked like one that has been read for initial_seconds, at a
/// rate that ends it within expected_seconds. Without this it would always be the slowest.
constexpr double initial_seconds = 1;
constexpr double expected_seconds = 60;

} // namespace

bool outgoing_memory::make_room(const outgoing_claim& claimant, std::size_t bytes) {
    const time_point now = m_clock();
    while (m_reserved + bytes > m_bytes) {
        outgoing_claim* slowest = nullptr;
        double lowest_rate = 0;
        for (outgoing_claim* each : m_sending) {
            if (each == &claimant || !each->is_large()) {
                continue;
            }
            const double rate = each->reading_rate_at(now);
            if (slowest == nullptr || rate < lowest_rate) {
                slowest = each;
                lowest_rate = rate;
            }
        }
        if (slowest == nullptr) {
            return m_large == (claimant.is_large() ? 1 : 0);
        }
        slowest->yield(now);
    }
    return true;
}

outgoing_claim::outgoing_claim(outgoing_memory* memory, callbacks owner)
    : m_memory(memory), m_owner(std::move(owner)) {}

outgoing_claim::~outgoing_claim() {
    if (m_memory != nullptr) {
        end_sending();
        set_expected(0);
    }
}

std::size_t outgoing_claim::expect(std::size_t min, std::size_t max) {
    if (m_memory == nullptr) {
        return max;
    }
    set_expected(0);
    const std::size_t taken = m_memory->m_reserved + m_memory->m_expected;
    const std::size_t left = m_memory->m_bytes > taken ? m_memory->m_bytes - taken : 0;
    const std::size_t size = std::clamp(left / responses_per_room, min, max);
    set_expected(size);
    return size;
}

void outgoing_claim::set_expected(std::size_t bytes) {
    m_memory->m_expected += bytes;
    m_memory->m_expected -= std::exchange(m_expected, bytes);
}

void outgoing_claim::hold(std::size_t bytes) {
    m_memory->m_large -= is_large() ? 1 : 0;
    m_memory->m_reserved += bytes;
    m_memory->m_reserved -= std::exchange(m_held, bytes);
    m_memory->m_large += is_large() ? 1 : 0;
}

bool outgoing_claim::reserve(std::size_t bytes) {
    if (m_memory == nullptr) {
        return true;
    }
    const bool fits = bytes <= m_held || bytes <= outgoing_memory::free_bytes ||
                      m_memory->make_room(*this, bytes - m_held);
    if (!fits) {
        ++m_memory->m_refused;
        return false;
    }
    set_expected(0);
    hold(bytes);
    return true;
}

void outgoing_claim::begin_sending(std::size_t bytes) {
    if (m_memory == nullptr || m_yielded) {
        return;
    }
    set_expected(0);
    if (bytes > m_held && bytes > outgoing_memory::free_bytes) {
        // The response exists; without room for it, it is all that is being sent.
        (void)m_memory->make_room(*this, bytes - m_held);
    }
    hold(bytes);
    m_sending = true;
    m_sending_since = m_memory->m_clock();
    m_taken_before = m_owner.taken_bytes();
    m_memory->m_sending.insert(this);
}

void outgoing_claim::end_sending() {
    if (m_memory == nullptr) {
        return;
    }
    if (m_sending) {
        m_sending = false;
        m_memory->m_sending.erase(this);
    }
    hold(0);
}

std::size_t outgoing_claim::taken() const {
    const std::size_t all = m_owner.taken_bytes();
    return all > m_taken_before ? all - m_taken_before : 0;
}

std::optional<double> outgoing_claim::reading_rate(duration min_time) const {
    const bool is_unread = m_sending && m_memory->m_clock() - m_sending_since >= min_time;
    return is_unread ? std::optional(reading_rate_at(m_memory->m_clock())) : std::nullopt;
}

double outgoing_claim::reading_rate_at(time_point now) const {
    const double fraction = static_cast<double>(taken()) / static_cast<double>(m_held);
    return (fraction + initial_seconds / expected_seconds) /
           (to_seconds(now - m_sending_since) + initial_seconds);
}

void outgoing_claim::yield(time_point now) {
    const yielded_response report{.label = label,
                                  .unread_for = now - m_sending_since,
                                  .held_bytes = m_held,
                                  .taken_bytes = taken()};
    end_sending();
    m_yielded = true;
    ++m_memory->m_yielded;
    m_owner.yield();
    m_memory->on_yield(report);
}

} // namespace eelgrassdoor::net
