/// \file
/// Defines how results of owned jobs reach the key-value service.
#pragma once

#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"

#include <functional>
#include <string>

namespace eelgrassdoor::jobs {

/// How long a change of an owned job is repeated while its outcome is unknown.
inline constexpr duration commit_timeout = seconds(4);

/// Commits results in groups. The only coroutine that changes the records of owned jobs while they
/// run, so that two changes of this daemon never race.
class result_committer {
public:
    result_committer(serving::service_context& context, const runner_options& options,
                     job_repository& repository, job_table& table);
    void start();

    /// Gives owned jobs up, when the daemon is to own none.
    std::function<net::task<>()> release;
    /// Reads a job of this daemon from the store.
    std::function<net::task<>(versioned_state)> reload;

    /// Finds out what changed a job under this daemon, and whose it is now.
    net::task<> settle_race(std::string id);

private:
    net::task<> commit_loop();
    /// Asks the store for the jobs that others may have taken over while this daemon's registration
    /// had ended, and for those with a change of unknown outcome.
    net::task<> confirm_jobs();
    net::task<> commit_results();
    net::task<> commit_alone(result_batch batch);
    /// Takes in the results that the store has beyond those known here; reads the job anew when
    /// they are others than those that wait here. False when \p job is not up to date afterwards.
    net::task<bool> take_in_results(job_ptr job, versioned_state record);
    /// The results that fit into the next commit.
    [[nodiscard]] std::vector<result_batch> next_batches() const;
    /// Sends one commit, and notes for each job what has become of it.
    net::task<result<change_outcome>> send(std::vector<result_batch>& batches);

    serving::service_context& m_context;
    const runner_options& m_options;
    job_repository& m_repository;
    job_table& m_table;
};

} // namespace eelgrassdoor::jobs
