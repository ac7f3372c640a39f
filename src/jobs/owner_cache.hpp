/// \file
/// Defines the cache of the owners of other daemons' jobs. Pure: no I/O.
#pragma once

#include "base/bounded_map.hpp"
#include "fleet/member_directory.hpp"
#include "jobs/job_state.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::jobs {

/// Caches the owner named by a job's latest known record. Callers read a job at any daemon, which
/// usually does not own it; the cache redirects them without a call to the store, as long as that
/// incarnation of the owner is alive. Not thread-safe.
class owner_cache {
public:
    /// Capacity in jobs; a further job clears the cache first. Covers several minutes of one
    /// daemon's callers at the design size of 30,000 jobs a day.
    static constexpr std::size_t max_jobs = 4096;

    explicit owner_cache(std::string own_host) : m_own_host(std::move(own_host)) {}

    /// Caches the owner named by a record that was read from the store.
    void record(const job_state& state);
    /// The endpoint of the daemon that owned \p job according to the cache. Returns nothing when
    /// the owner is not cached, was this daemon, has restarted or left since, or when \p
    /// is_reachable is false for its host.
    [[nodiscard]] std::optional<std::string>
    endpoint_of(std::string_view job, const fleet::member_map& members,
                const std::function<bool(std::string_view host)>& is_reachable) const;

private:
    /// A daemon process, identified by its host and incarnation.
    struct owner {
        std::string host;
        std::uint64_t incarnation = 0;
    };

    std::string m_own_host;
    bounded_map<owner> m_owners{max_jobs};
};

} // namespace eelgrassdoor::jobs
