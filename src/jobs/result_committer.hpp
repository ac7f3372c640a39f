/// \file
/// Defines the committing of results of owned jobs to the key-value service.
#pragma once

#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"

#include <functional>
#include <string>

namespace eelgrassdoor::jobs {

/// How long a change of an owned job is retried before its outcome counts as failed or unknown.
inline constexpr duration commit_timeout = seconds(4);

/// Commits results of several jobs in one transaction. Its coroutine is the only one that changes
/// the records of owned jobs while they run, so two changes of this daemon never conflict. Not
/// thread-safe: all members run on the event loop's thread.
class result_committer {
public:
    result_committer(serving::service_context& context, const runner_options& options,
                     job_repository& repository, job_table& table);
    /// Starts the commit coroutine on the event loop.
    void start();

    /// Set by the runner to job_ownership::hand_over_jobs(); called while the daemon is draining.
    std::function<net::task<>()> hand_over_jobs;
    /// Set by the runner to job_ownership::load().
    std::function<net::task<>(versioned_state)> reload;

    /// Reads a job whose record was changed by others. Drops it when another daemon owns it;
    /// otherwise adopts cancellation and results from the store and confirms the job.
    net::task<> resolve_conflict(std::string id);

private:
    net::task<> commit_loop();
    /// Confirms with the store the jobs that others may have adopted while this daemon's
    /// registration had expired, and those with a change of unknown outcome.
    net::task<> confirm_jobs();
    /// Commits until no results are left or a commit fails.
    net::task<> commit_results();
    /// Commits the results of one job, so that a conflict or refusal of another job's does not
    /// affect them.
    net::task<> commit_single(result_batch batch);
    /// Commits the results of one job one by one, and withdraws those that the store refuses for
    /// good.
    net::task<> commit_each_result(std::string id);
    /// Marks results as committed that the store has beyond those known here. Reloads the job when
    /// they differ from the uncommitted results. Returns false when \p job is not up to date
    /// afterwards.
    net::task<bool> merge_stored_results(job_ptr job, versioned_state record);
    /// The results that fit into the next commit.
    [[nodiscard]] std::vector<result_batch> next_batches() const;
    /// Sends one commit and records its outcome in each job.
    net::task<result<change_outcome>> send(std::vector<result_batch>& batches);

    serving::service_context& m_context;
    const runner_options& m_options;
    job_repository& m_repository;
    job_table& m_table;
};

} // namespace eelgrassdoor::jobs
