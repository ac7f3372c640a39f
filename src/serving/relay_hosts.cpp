#include "serving/relay_hosts.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::serving {

std::vector<fleet::member>
relay_hosts::order(const fleet::member_map& members, std::string_view self,
                   const std::function<bool(std::string_view host)>& is_heard, time_point now,
                   random_source& random) const {
    std::vector<std::pair<std::pair<bool, std::uint64_t>, const fleet::member*>> ranked;
    for (const auto& [host, each] : members) {
        if (!each.relays_requests || host == self || !is_heard(host)) {
            continue;
        }
        const auto avoided = m_avoided_until.find(host);
        const bool is_avoided = avoided != m_avoided_until.end() && now < avoided->second;
        ranked.push_back({{is_avoided, random.next()}, &each});
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<fleet::member> out;
    out.reserve(ranked.size());
    for (const auto& [rank, each] : ranked) {
        out.push_back(*each);
    }
    return out;
}

void relay_hosts::avoid(std::string_view host, time_point now) {
    std::erase_if(m_avoided_until, [&](const auto& entry) { return entry.second <= now; });
    m_avoided_until[std::string(host)] = now + avoidance_time;
}

} // namespace eelgrassdoor::serving
