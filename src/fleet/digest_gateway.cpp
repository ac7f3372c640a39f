#include "fleet/digest_gateway.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

std::vector<member> gateway_duty::own_gateways() const {
    return m_gateways.of(m_self.availability_zone, m_hooks.is_heard);
}

bool gateway_duty::is_gateway() const {
    const std::vector<member> own = own_gateways();
    return std::any_of(own.begin(), own.end(),
                       [&](const member& each) { return each.host == m_self.host; });
}

void gateway_duty::collect_outgoing(std::string_view host, std::string_view datagram) {
    if (is_gateway()) {
        m_outgoing.add(host, datagram);
    }
}

void gateway_duty::collect_incoming(std::string_view host, std::string_view datagram) {
    m_incoming.add(host, datagram);
}

void gateway_duty::pass_on(time_point now) {
    if (now - m_passed_on_at < interval || !has_news()) {
        return;
    }
    m_passed_on_at = now;
    send_to_other_zones();
    for (const std::string& bundle : m_incoming.take(m_self.availability_zone)) {
        m_hooks.send_to_own_zone(bundle);
    }
}

void gateway_duty::send_to_other_zones() {
    const std::vector<std::string> bundles = m_outgoing.take(m_self.availability_zone);
    const std::vector<member> own = own_gateways();
    const auto self = std::find_if(own.begin(), own.end(),
                                   [&](const member& each) { return each.host == m_self.host; });
    if (bundles.empty() || self == own.end()) {
        return;
    }
    const auto number = static_cast<std::size_t>(self - own.begin());
    for (const std::string& zone : m_gateways.zones()) {
        if (zone == m_self.availability_zone) {
            continue;
        }
        std::vector<member> remote = m_gateways.of(zone, m_hooks.is_heard);
        const member* probed = m_gateways.probe(zone, m_probes);
        if (remote.empty() && probed != nullptr) {
            remote.push_back(*probed);
            ++m_probes;
        }
        for (const member& to : share_of_gateways(remote, number, own.size())) {
            for (const std::string& bundle : bundles) {
                m_hooks.send(to, bundle);
            }
        }
    }
}

} // namespace eelgrassdoor::fleet
