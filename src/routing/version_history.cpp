#include "routing/version_history.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

versions_by_service versions_of(std::span<const fleet_target> targets) {
    versions_by_service out;
    for (const fleet_target& each : targets) {
        out[each.service].insert(each.version);
    }
    return out;
}

versions_by_service difference(const versions_by_service& versions,
                               const versions_by_service& known) {
    versions_by_service out;
    for (const auto& [service, each] : versions) {
        for (const std::string& version : each) {
            if (!contains(known, service, version)) {
                out[service].insert(version);
            }
        }
    }
    return out;
}

bool contains(const versions_by_service& versions, std::string_view service,
              std::string_view version) {
    const auto found = versions.find(service);
    return found != versions.end() && found->second.contains(version);
}

void version_history::set_listed(const versions_by_service& listed, time_point now) {
    for (auto& [service, versions] : m_versions) {
        const auto current = listed.find(service);
        for (auto& [version, gone] : versions) {
            const bool has_target = current != listed.end() && current->second.contains(version);
            if (!has_target && !gone) {
                gone = now;
            }
        }
        std::erase_if(versions, [&](const auto& entry) { return !is_recent(entry.second, now); });
    }
    for (const auto& [service, versions] : listed) {
        for (const std::string& version : versions) {
            m_versions[service][version] = std::nullopt;
        }
    }
    std::erase_if(m_versions, [](const auto& entry) { return entry.second.empty(); });
}

void version_history::add_earlier(const versions_by_service& earlier, time_point now) {
    for (const auto& [service, versions] : earlier) {
        for (const std::string& version : versions) {
            gone_at& known = m_versions[service].try_emplace(version, now).first->second;
            known = known ? std::optional(std::max(*known, now)) : std::nullopt;
        }
    }
}

version_set version_history::recent(std::string_view service, time_point now) const {
    version_set out;
    const auto found = m_versions.find(service);
    if (found == m_versions.end()) {
        return out;
    }
    for (const auto& [version, gone] : found->second) {
        if (is_recent(gone, now)) {
            out.insert(version);
        }
    }
    return out;
}

versions_by_service version_history::recent(time_point now) const {
    versions_by_service out;
    for (const auto& [service, versions] : m_versions) {
        version_set found = recent(service, now);
        if (!found.empty()) {
            out.emplace(service, std::move(found));
        }
    }
    return out;
}

} // namespace eelgrassdoor::routing
