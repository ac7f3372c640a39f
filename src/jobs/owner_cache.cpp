#include "jobs/owner_cache.hpp"

namespace eelgrassdoor::jobs {

void owner_memory::note(const job_state& state) {
    m_owners.at(state.job) = {state.owner, state.owner_incarnation};
}

std::optional<std::string>
owner_memory::endpoint_of(std::string_view job, const fleet::member_map& members,
                          const std::function<bool(std::string_view host)>& is_heard) const {
    const owner* known = m_owners.find(job);
    if (known == nullptr || known->host == m_own_host) {
        return std::nullopt;
    }
    const auto listed = members.find(known->host);
    const bool lives = listed != members.end() &&
                       listed->second.incarnation == known->incarnation && is_heard(known->host);
    return lives ? std::optional(listed->second.endpoint) : std::nullopt;
}

} // namespace eelgrassdoor::jobs
