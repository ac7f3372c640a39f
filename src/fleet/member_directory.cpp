#include "fleet/member_directory.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

void member_directory::set_registered(const std::vector<member>& members, time_point now) {
    member_map next;
    for (const member& each : members) {
        next[each.host] = each;
        m_lapsed.erase(each.host);
    }
    for (const auto& [host, record] : m_registered) {
        if (!next.contains(host)) {
            m_lapsed[host] = {record, now + lapsed_retention};
        }
    }
    std::erase_if(m_lapsed, [&](const auto& entry) { return entry.second.until <= now; });
    m_registered = std::move(next);
}

void member_directory::record_heard(std::string_view host, time_point now) {
    const auto found = m_lapsed.find(host);
    if (found != m_lapsed.end()) {
        found->second.until = std::max(found->second.until, now + lapsed_retention);
    }
}

member_map member_directory::active_members(time_point now) const {
    member_map out = m_registered;
    for (const auto& [host, lapsed] : m_lapsed) {
        if (lapsed.until > now) {
            out.emplace(host, lapsed.record);
        }
    }
    return out;
}

bool member_directory::knows(std::string_view host, time_point now) const {
    const auto lapsed = m_lapsed.find(host);
    return m_registered.contains(host) || (lapsed != m_lapsed.end() && lapsed->second.until > now);
}

bool member_directory::is_in_zone(std::string_view host, std::string_view availability_zone) const {
    const auto registered = m_registered.find(host);
    if (registered != m_registered.end()) {
        return registered->second.availability_zone == availability_zone;
    }
    const auto lapsed = m_lapsed.find(host);
    return lapsed != m_lapsed.end() && lapsed->second.record.availability_zone == availability_zone;
}

} // namespace eelgrassdoor::fleet
