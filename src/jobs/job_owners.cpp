#include "jobs/job_owners.hpp"

namespace eelgrassdoor::jobs {

namespace {

bool is_registered(const fleet::member_map& members, std::string_view host,
                   std::uint64_t incarnation) {
    const auto found = members.find(host);
    return found != members.end() && found->second.incarnation == incarnation;
}

} // namespace

void job_owners::record_scan(fleet::member_map members, std::set<process> owners) {
    m_last_scan = {std::move(members), std::move(owners)};
}

bool job_owners::may_own_jobs(std::string_view host, std::uint64_t incarnation,
                              const fleet::member_map& registered) const {
    return is_registered(registered, host, incarnation) || !m_last_scan ||
           is_registered(m_last_scan->members, host, incarnation) ||
           m_last_scan->owners.contains({std::string(host), incarnation});
}

} // namespace eelgrassdoor::jobs
