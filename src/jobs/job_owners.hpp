/// \file
/// Defines the knowledge of which daemons may own unfinished jobs. Does no I/O.
#pragma once

#include "fleet/member_directory.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassdoor::jobs {

/// Tells which daemons may own unfinished jobs. A registered daemon may; one whose registration has
/// ended or was replaced may until a scan of all jobs, begun after that, finds none of its jobs.
/// Not thread-safe.
class job_owners {
public:
    /// A daemon process, identified by its host and incarnation.
    using process = std::pair<std::string, std::uint64_t>;

    /// Records a scan of all jobs. \p members are the daemons that were registered when the scan
    /// began, \p owners the owners of the orphaned jobs that are left after it.
    void record_scan(fleet::member_map members, std::set<process> owners);
    /// Whether this incarnation of \p host may own unfinished jobs, given the registered daemons.
    [[nodiscard]] bool may_own_jobs(std::string_view host, std::uint64_t incarnation,
                                    const fleet::member_map& registered) const;

private:
    struct scan {
        fleet::member_map members;
        std::set<process> owners;
    };
    std::optional<scan> m_last_scan;
};

} // namespace eelgrassdoor::jobs
