#include "jobs/owner_cache.hpp"

namespace eelgrassdoor::jobs {

void owner_cache::record(const job_state& state) {
    m_owners.find_or_create(state.job) = {state.owner, state.owner_incarnation};
}

std::optional<std::string>
owner_cache::endpoint_of(std::string_view job, const fleet::member_map& members,
                         const std::function<bool(std::string_view host)>& is_reachable) const {
    const owner* known = m_owners.find(job);
    if (known == nullptr || known->host == m_own_host) {
        return std::nullopt;
    }
    const auto listed = members.find(known->host);
    const bool alive = listed != members.end() &&
                       listed->second.incarnation == known->incarnation &&
                       is_reachable(known->host);
    return alive ? std::optional(listed->second.endpoint) : std::nullopt;
}

} // namespace eelgrassdoor::jobs
