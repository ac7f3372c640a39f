#include "fleet/target_retention.hpp"

namespace eelgrassdoor::fleet {

std::vector<routing::fleet_target>
target_retention::update(const std::vector<routing::fleet_target>& listed,
                         const store_connectivity& connectivity, time_point now) {
    std::map<std::string, routing::fleet_target, std::less<>> next;
    for (const routing::fleet_target& target : listed) {
        next.emplace(target.id, target);
    }
    const bool is_unavailable = connectivity.connected_since == time_point::max();
    const bool recently_restored = !is_unavailable &&
                                   connectivity.last_outage > max_outage_without_expiry &&
                                   now - connectivity.connected_since < reregistration_time;
    if (is_unavailable || recently_restored) {
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
