#include "limits/authority.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

void authority::claim(std::size_t slot, std::uint64_t epoch, time_point now) {
    m_slot = slot;
    m_epoch = epoch;
    m_last_tick = now;
    m_lapsed = false;
}

bool authority::tick(time_point now) {
    const bool paused = holds() && now - m_last_tick > max_tick_gap;
    if (paused) {
        m_lapsed = true;
        ++m_pauses;
        m_resumed_at = now;
    }
    m_last_tick = std::max(now, m_last_tick);
    return paused;
}

bool authority::may_use(time_point now) {
    tick(now);
    return holds() && !m_lapsed;
}

void authority::confirm(std::uint64_t epoch, time_point query_sent_at) {
    m_epoch = std::max(epoch, m_epoch);
    if (query_sent_at >= m_resumed_at) {
        m_lapsed = false;
    }
}

} // namespace eelgrassdoor::limits
