#include "fleet/recent_senders.hpp"

namespace eelgrassdoor::fleet {

void heard_endpoints::note(const net::udp::endpoint& from, time_point now) {
    if (m_heard_at.size() >= max_remembered) {
        std::erase_if(m_heard_at, [&](const auto& entry) { return now - entry.second > silence; });
    }
    m_heard_at[from] = now;
}

bool heard_endpoints::contains(const net::udp::endpoint& endpoint, time_point now) const {
    const auto found = m_heard_at.find(endpoint);
    return found != m_heard_at.end() && now - found->second <= silence;
}

} // namespace eelgrassdoor::fleet
