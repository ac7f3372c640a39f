#include "fleet/zone_gateways.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::fleet {

void zone_gateways::set_members(const member_map& members) {
    m_ranked.clear();
    for (const auto& [host, each] : members) {
        m_ranked[each.availability_zone].push_back(each);
    }
    for (auto& [zone, ranked] : m_ranked) {
        const std::uint64_t key = stable_hash(zone);
        const auto rank = [key](const member& each) {
            return std::pair(!each.serves_callers, rendezvous_weight(key, each.host));
        };
        std::sort(ranked.begin(), ranked.end(),
                  [&](const member& a, const member& b) { return rank(a) > rank(b); });
    }
}

std::vector<member> zone_gateways::gateways_of(std::string_view zone,
                                               const is_heard_fn& is_heard) const {
    std::vector<member> out;
    const auto found = m_ranked.find(zone);
    if (found == m_ranked.end()) {
        return out;
    }
    for (const member& each : found->second) {
        if (out.size() < gateways_per_zone && is_heard(each.host)) {
            out.push_back(each);
        }
    }
    return out;
}

const member* zone_gateways::probe_candidate(std::string_view zone, std::size_t attempt) const {
    const auto found = m_ranked.find(zone);
    if (found == m_ranked.end() || found->second.empty()) {
        return nullptr;
    }
    return &found->second[attempt % found->second.size()];
}

std::vector<std::string> zone_gateways::zones() const {
    std::vector<std::string> out;
    for (const auto& [zone, ranked] : m_ranked) {
        out.push_back(zone);
    }
    return out;
}

std::vector<member> assigned_gateways(const std::vector<member>& remote, std::size_t local_index,
                                      std::size_t gateways) {
    std::vector<member> out;
    for (std::size_t i = 0; i < remote.size(); ++i) {
        if (gateways > 0 && i % gateways == local_index) {
            out.push_back(remote[i]);
        }
    }
    // With fewer remote than local gateways, the remaining local ones send to the last remote one
    // too: it may be reachable from only some of them.
    if (out.empty() && !remote.empty()) {
        out.push_back(remote.back());
    }
    return out;
}

} // namespace eelgrassdoor::fleet
