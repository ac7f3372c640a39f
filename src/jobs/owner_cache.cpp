#include "jobs/owner_cache.hpp"

namespace eelgrassdoor::jobs {

void owner_cache::record(const job_state& state) {
    m_owners.find_or_create(state.job) = {state.owner, state.owner_incarnation};
}

std::optional<std::string>
owner_cache::endpoint_of(std::string_view job, const fleet::member_map& members,
                         const std::function<bool(std::string_view host)>& is_reachable) const {
    const owner* cached_owner = m_owners.find(job);
    if (cached_owner == nullptr || cached_owner->host == m_own_host) {
        return std::nullopt;
    }
    const auto registered_member = members.find(cached_owner->host);
    const bool alive = registered_member != members.end() &&
                       registered_member->second.incarnation == cached_owner->incarnation &&
                       is_reachable(cached_owner->host);
    return alive ? std::optional(registered_member->second.endpoint) : std::nullopt;
}

} // namespace eelgrassdoor::jobs
