#include "fleet/digest_relay.hpp"

#include "fleet/message.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// A request is valid for more than two intervals, so that the loss of one datagram does not end
/// the relaying.
constexpr duration request_interval = milliseconds(700);
constexpr duration relay_lifetime = milliseconds(1600);
/// Number of daemons from which the digests of one silent member are requested.
constexpr std::size_t relays_per_member = 2;
/// Maximum number of daemons that one digest is relayed to.
constexpr std::size_t max_destinations = 16;

} // namespace

void digest_relay::record_request(const std::string& host, const net::udp::endpoint& from,
                                  time_point now) {
    std::vector<relay_destination>& destinations = m_destinations[host];
    std::erase_if(destinations, [&](const relay_destination& each) {
        return each.until <= now || each.endpoint == from;
    });
    if (destinations.size() < max_destinations) {
        destinations.push_back({from, now + relay_lifetime});
    }
}

void digest_relay::relay(std::string_view host, std::string_view datagram, time_point now) const {
    const auto found = m_destinations.find(host);
    if (found == m_destinations.end()) {
        return;
    }
    for (const relay_destination& destination : found->second) {
        if (destination.until > now) {
            m_send(destination.endpoint, datagram);
        }
    }
}

bool digest_relay::is_request_due(time_point now) const {
    return now - m_requested_at >= request_interval;
}

void digest_relay::request_relays(const member_map& members,
                                  const std::function<bool(std::string_view host)>& is_heard,
                                  time_point now) {
    m_requested_at = now;
    std::vector<const member*> heard;
    std::vector<std::string> silent;
    for (const auto& [host, each] : members) {
        if (is_heard(host)) {
            heard.push_back(&each);
        } else if (host != m_own_host) {
            silent.push_back(host);
        }
    }
    for (const std::string& host : silent) {
        const std::string request = to_datagram(relay_request{host});
        // Rotates through the members, since one of them may not reach the silent member either.
        for (std::size_t i = 0; i < std::min(relays_per_member, heard.size()); ++i) {
            const member& relay_peer = *heard[m_next_relay++ % heard.size()];
            if (const auto endpoint = net::parse_endpoint(relay_peer.endpoint)) {
                m_send({endpoint.value().address(), endpoint.value().port()}, request);
            }
        }
    }
}

} // namespace eelgrassdoor::fleet
