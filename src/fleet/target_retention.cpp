#include "fleet/target_retention.hpp"

namespace eelgrassdoor::fleet {

std::vector<routing::fleet_target>
target_roster::update(const std::vector<routing::fleet_target>& listed,
                      const store_contact& contact, time_point now) {
    std::map<std::string, routing::fleet_target, std::less<>> next;
    for (const routing::fleet_target& target : listed) {
        next.emplace(target.id, target);
    }
    const bool away = contact.connected_since == time_point::max();
    const bool just_back =
        !away && contact.outage > harmless_outage && now - contact.connected_since < return_time;
    if (away || just_back) {
        for (auto& [id, target] : m_used) {
            next.emplace(id, target);
        }
    }
    m_used = std::move(next);
    std::vector<routing::fleet_target> out;
    for (const auto& [id, target] : m_used) {
        out.push_back(target);
    }
    return out;
}

} // namespace eelgrassdoor::fleet
