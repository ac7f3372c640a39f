#include "fleet/peer_group.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

duration peer_group::change_interval() const {
    const double groups =
        static_cast<double>(endpoints.size()) / static_cast<double>(m_intervals.peers_at_full_rate);
    return from_seconds(to_seconds(m_intervals.change) * std::max(1.0, groups));
}

bool peer_group::mark_sent_if_due(time_point now) {
    if (now - m_sent_at < (m_changed ? change_interval() : m_intervals.repeat)) {
        return false;
    }
    m_changed = false;
    m_sent_at = now;
    return true;
}

} // namespace eelgrassdoor::fleet
