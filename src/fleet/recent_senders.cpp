#include "fleet/recent_senders.hpp"

namespace eelgrassdoor::fleet {

void recent_senders::record_datagram(const net::udp::endpoint& from, time_point now) {
    if (m_heard_at.size() >= eviction_threshold) {
        std::erase_if(m_heard_at, [&](const auto& entry) {
            return now - entry.second > direct_silence_timeout;
        });
    }
    m_heard_at[from] = now;
}

bool recent_senders::contains(const net::udp::endpoint& endpoint, time_point now) const {
    const auto found = m_heard_at.find(endpoint);
    return found != m_heard_at.end() && now - found->second <= direct_silence_timeout;
}

} // namespace eelgrassdoor::fleet
