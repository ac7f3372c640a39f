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

    /// Records that this daemon begins to create \p job. Its \p tokens count as waiting for
    /// \p backlog, see backlog_key(), until the outcome is known.
    void begin_creation(const std::string& job, std::uint64_t backlog, std::uint64_t tokens);
    /// Scans more often for a while for \p job, whose creation has an unknown outcome and may still
    /// take effect.
    void track_unconfirmed_creation(const std::string& job);
    /// Records that the creation of \p job has taken effect or never will, if that was not known.
    void settle_creation(std::string_view job);
    /// Whether the creation of a job by this daemon may still take effect.
    [[nodiscard]] bool may_be_created(std::string_view job) const {
        return m_creations.contains(job);
    }
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
    /// Forgets the creations that can't take effect any more.
    void expire_creations();
    [[nodiscard]] bool has_unconfirmed_creation() const;
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
    /// A creation that may take effect.
    struct creation {
        std::uint64_t backlog = 0;
        std::uint64_t tokens = 0;
        /// End of the time in which it may take effect.
        time_point until;
        /// Whether the store has not responded to it.
        bool is_unconfirmed = false;
    };
    /// By job.
    std::map<std::string, creation, std::less<>> m_creations;
    job_owners m_owners;
};

} // namespace eelgrassdoor::jobs
