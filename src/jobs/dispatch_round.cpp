#include "jobs/dispatch_round.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

bool dispatch_round::has_version(const std::string& service, const std::string& version) {
    auto known = m_versions.find(service);
    if (known == m_versions.end()) {
        known = m_versions.emplace(service, m_loads.versions_of(service)).first;
    }
    return known->second.contains(version);
}

const std::string& dispatch_round::service_of(const owned_item& item,
                                              const config::serving_route& route,
                                              const std::string& drawn) {
    if (!item.has_text() || has_version(drawn, item.version)) {
        return drawn;
    }
    const auto other = std::find_if(route.services.begin(), route.services.end(),
                                    [&](const config::weighted_service& each) {
                                        return has_version(each.service, item.version);
                                    });
    return other == route.services.end() ? drawn : other->service;
}

bool dispatch_round::goes_on(const owned_item& item, const std::string& service) {
    return item.has_text() && !item.may_start_over(m_now) && has_version(service, item.version);
}

bool dispatch_round::is_held(const owned_item& item, const std::string& service) const {
    if (is_full(service)) {
        return true;
    }
    return item.has_text() && !item.may_start_over(m_now) &&
           m_full_versions.contains({service, item.version});
}

std::optional<routing::fleet_target> dispatch_round::pick(const std::string& service,
                                                          routing::target_constraints constraints) {
    std::optional<routing::fleet_target> target = m_pick(service, constraints);
    if (!target && !constraints.excluded.empty()) {
        constraints.excluded.clear();
        target = m_pick(service, constraints);
    }
    return target;
}

std::optional<routing::fleet_target> dispatch_round::place(const owned_item& item,
                                                           const std::string& service) {
    routing::target_constraints constraints;
    if (!item.last_failed_target.empty()) {
        constraints.excluded.insert(item.last_failed_target);
    }
    if (goes_on(item, service)) {
        constraints.version = item.version;
        std::optional<routing::fleet_target> target = pick(service, constraints);
        if (target) {
            return target;
        }
        constraints.version.reset();
        if (pick(service, constraints)) {
            m_full_versions.emplace(service, item.version);
            return std::nullopt;
        }
    } else if (std::optional<routing::fleet_target> target = pick(service, constraints)) {
        return target;
    }
    m_full_services.insert(service);
    return std::nullopt;
}

} // namespace eelgrassdoor::jobs
