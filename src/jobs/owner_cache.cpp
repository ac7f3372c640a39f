#include "jobs/owner_cache.hpp"

namespace eelgrassdoor::jobs {

void owner_cache::record(const job_state& state) {
    m_owners.at(state.job) = {state.owner, state.owner_incarnation};
}

std::optional<std::string>
owner_cache::endpoint_of(std::string_view job, const fleet::member_map& members,
                         const std::function<bool(std::string_view host)>& is_reachable) const {
    const owner* cached = m_owners.find(job);
    if (cached == nullptr || cached->host == m_own_host) {
        return std::nullopt;
    }
    const auto member = members.find(cached->host);
    const bool alive = member != members.end() &&
                       member->second.incarnation == cached->incarnation &&
                       is_reachable(cached->host);
    return alive ? std::optional(member->second.endpoint) : std::nullopt;
}

} // namespace eelgrassdoor::jobs
