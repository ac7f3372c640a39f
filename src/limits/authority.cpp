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
    const bool paused = holds() && now - m_last_tick > pause_bound;
    if (paused) {
        m_lapsed = true;
        ++m_pauses;
        m_woke_at = now;
    }
    m_last_tick = std::max(now, m_last_tick);
    return paused;
}

bool authority::may_use(time_point now) {
    tick(now);
    return holds() && !m_lapsed;
}

void authority::confirm(std::uint64_t epoch, time_point asked_at) {
    m_epoch = std::max(epoch, m_epoch);
    if (asked_at >= m_woke_at) {
        m_lapsed = false;
    }
}

} // namespace eelgrassdoor::limits
