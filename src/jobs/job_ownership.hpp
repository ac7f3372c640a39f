/// \file
/// Defines the adoption of orphaned jobs and the handover of owned ones.
#pragma once

#include "jobs/job_owners.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"

#include <functional>
#include <map>
#include <string>

namespace eelgrassdoor::jobs {

/// Adopts unfinished jobs whose owner is gone, and hands this daemon's jobs over when it is
/// drained. Not thread-safe: all members run on the event loop's thread.
class job_ownership {
public:
    job_ownership(serving::service_context& context, const runner_options& options,
                  job_repository& repository, job_table& table);
    /// Starts the coroutine that scans for orphaned jobs.
    void start();

    /// Scans more often for a while for \p job, whose creation by this daemon has an unknown
    /// outcome and may still take effect.
    void track_unconfirmed_creation(const std::string& job);
    /// Whether this incarnation of another daemon may own unfinished jobs.
    [[nodiscard]] bool may_own_jobs(std::string_view host, std::uint64_t incarnation) const;
    /// Hands every unfinished job over to its preferred owner among the other daemons. Jobs stay
    /// when there is no such daemon or a change fails; the committer is then woken for another
    /// attempt.
    net::task<> hand_over_jobs();
    /// Reads a job that belongs to this daemon from the store, with its items and results, and adds
    /// it to the table. Does nothing when it is finished, has another owner or cannot be read.
    net::task<> load(versioned_state record);

    /// Set by the runner to result_committer::resolve_conflict().
    std::function<net::task<>(std::string)> resolve_conflict;

private:
    net::task<> adopt_loop();
    /// Scans all jobs once. Returns whether the next scan is due soon: orphans are left or the scan
    /// was not possible.
    net::task<bool> adopt_orphans();
    /// Makes this daemon the owner in the job's record, unless it is already, and loads the job.
    net::task<> adopt(versioned_state record);
    /// Whether the job is unfinished and no live daemon runs it: its owner's incarnation is gone,
    /// or the record names this host but the job is not in the table.
    [[nodiscard]] bool is_orphan(const job_state& state) const;
    /// Whether this daemon is the one to adopt an orphaned job now.
    [[nodiscard]] bool should_adopt(const job_state& state) const;
    /// The host that is to own a job by rendezvous hashing over the daemons that run jobs, other
    /// than \p excluded_host; empty when there is none.
    [[nodiscard]] std::string preferred_owner(std::string_view job,
                                              std::string_view excluded_host) const;

    serving::service_context& m_context;
    const runner_options& m_options;
    job_repository& m_repository;
    job_table& m_table;
    /// Jobs whose creation has an unknown outcome, with the end of the frequent scans for each.
    std::map<std::string, time_point, std::less<>> m_unconfirmed_creations;
    job_owners m_owners;
};

} // namespace eelgrassdoor::jobs
