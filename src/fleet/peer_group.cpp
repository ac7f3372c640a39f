#include "fleet/peer_group.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

bool peer_group::take_turn(time_point now) {
    const double groups =
        static_cast<double>(endpoints.size()) / static_cast<double>(m_intervals.peers_at_change);
    const duration stretched = from_seconds(to_seconds(m_intervals.change) * std::max(1.0, groups));
    if (now - m_told_at < (m_changed ? stretched : m_intervals.repeat)) {
        return false;
    }
    m_changed = false;
    m_told_at = now;
    return true;
}

} // namespace eelgrassdoor::fleet
