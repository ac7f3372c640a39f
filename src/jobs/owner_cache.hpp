/// \file
/// Defines what is remembered of the owners of other daemons' jobs. Pure: no I/O.
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

/// Callers read a job at any daemon, which mostly does not own it. The owner that the job's record
/// named last is named again without a call to the store, as long as that start of it lives.
class owner_memory {
public:
    /// Jobs that are remembered. Those of one daemon's callers in several minutes at the design
    /// size of 30,000 jobs a day.
    static constexpr std::size_t max_jobs = 4096;

    explicit owner_memory(std::string own_host) : m_own_host(std::move(own_host)) {}

    /// Takes in a record that was read from the store.
    void note(const job_state& state);
    /// The endpoint of the daemon that owned the job; nothing when that is not known, when it was
    /// this daemon, or when that start of the owner is gone or silent.
    [[nodiscard]] std::optional<std::string>
    endpoint_of(std::string_view job, const fleet::member_map& members,
                const std::function<bool(std::string_view host)>& is_heard) const;

private:
    /// One start of a daemon.
    struct owner {
        std::string host;
        std::uint64_t incarnation = 0;
    };

    std::string m_own_host;
    bounded_map<owner> m_owners{max_jobs};
};

} // namespace eelgrassdoor::jobs
