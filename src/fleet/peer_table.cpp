#include "fleet/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::fleet {

bool peer_table::accept(const load_digest& digest, time_point now) {
    peer_state& stored = m_peers[digest.host];
    const bool newer = std::pair(digest.incarnation, digest.sequence) >
                       std::pair(stored.incarnation, stored.sequence);
    if (newer && !digest.is_final) {
        stored = {digest.incarnation, digest.sequence, now, digest.reaches_store, digest.waiting};
    }
    return newer;
}

const peer_table::peer_state* peer_table::find_heard(std::string_view host, duration age,
                                                     time_point now) const {
    const auto found = m_peers.find(host);
    return found != m_peers.end() && now - found->second.heard_at <= age ? &found->second : nullptr;
}

bool peer_table::heard_within(std::string_view host, duration age, time_point now) const {
    return find_heard(host, age, now) != nullptr;
}

bool peer_table::peer_reaches_store(std::string_view host, duration age, time_point now) const {
    const peer_state* peer = find_heard(host, age, now);
    return peer != nullptr && peer->reaches_store;
}

bool peer_table::any_peer_reaches_store(duration age, time_point now) const {
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.reaches_store && now - entry.second.heard_at <= age;
    });
}

std::uint64_t peer_table::sum_waiting_tokens(std::uint64_t customer_and_route) const {
    std::uint64_t sum = 0;
    for (const auto& [host, peer] : m_peers) {
        for (const waiting_tokens& each : peer.waiting) {
            sum += each.customer_and_route == customer_and_route ? each.tokens : 0;
        }
    }
    return sum;
}

} // namespace eelgrassdoor::fleet
