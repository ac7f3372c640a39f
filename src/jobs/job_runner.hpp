/// \file
/// Defines the service that owns and runs batch jobs.
#pragma once

#include "jobs/item_dispatcher.hpp"
#include "jobs/job_call.hpp"
#include "jobs/job_ownership.hpp"
#include "jobs/job_repository.hpp"
#include "jobs/job_table.hpp"
#include "jobs/owner_cache.hpp"
#include "jobs/result_committer.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// Runs the jobs that this daemon owns and answers calls about jobs. A job's owner is the daemon
/// that its record names. Every change of the record is conditional on its revision, so an owner
/// that has been replaced learns of it at its next commit. Not thread-safe: all members run on the
/// event loop's thread.
class job_runner {
public:
    /// Reserves memory for a reply. Returns false when there is none left.
    using reserve_fn = std::function<bool(std::size_t bytes)>;

    job_runner(serving::service_context& context, job_repository& repository,
               runner_options options);

    /// Starts dispatching, committing and adopting.
    void start();

    /// Executes a call. A read waits for new results for as long as the call says. \p reserve is
    /// called with the bytes that a read of the store may hold; when it returns false, the call is
    /// not executed.
    net::task<job_reply> handle(job_call call, reserve_fn reserve);

    /// Call when the load at the targets has changed: runs may have to be preempted or may start.
    void on_load_change();
    /// Call when daemons have joined or left: jobs of those that left are adopted.
    void on_membership_change() { m_table.adopt_wake.notify(); }
    /// Call when a caller has cancelled \p job at another daemon.
    void mark_cancelled(const std::string& job) { m_table.mark_cancelled(job); }
    /// Starts draining: this daemon accepts no more jobs, stops its runs and hands its jobs over to
    /// other daemons. Returns at once; see is_drained().
    void start_draining();
    /// Whether this daemon owns no unfinished job.
    [[nodiscard]] bool is_drained() const { return m_table.is_drained(); }

    /// Waiting tokens by customer and route, as reported to the other daemons in digests.
    [[nodiscard]] std::vector<fleet::waiting_tokens> waiting_tokens() const {
        return m_table.waiting_tokens();
    }

private:
    /// Creates a job, unless that is known to have been done. A reply that the job was not accepted
    /// is given only when no earlier attempt can create it any more.
    net::task<job_reply> submit(job_call call);
    /// Creates a job that is not in the table.
    net::task<job_reply> create(job_call call);
    /// The reply to the submission of a job that exceeds the route's limit.
    net::task<job_reply> refuse(const std::string& job);
    net::task<job_reply> read(job_call call, reserve_fn reserve);
    net::task<job_reply> read_item(job_call call, reserve_fn reserve);
    net::task<job_reply> cancel(job_call call);
    net::task<job_reply> read_from_store(job_call call, reserve_fn reserve);
    /// Result of reading a job's record from the store.
    struct lookup {
        /// The final reply, unless the job's items or results are needed for it.
        std::optional<job_reply> reply;
        job_state state;
    };
    /// Reads the job's record for a call that cannot be answered from the table.
    net::task<lookup> look_up(job_call call);
    /// The reply that redirects to another daemon as the owner, if one is cached.
    [[nodiscard]] std::optional<job_reply> redirect_for(const std::string& job) const;

    serving::service_context& m_context;
    job_repository& m_repository;
    runner_options m_options;
    job_table m_table;
    owner_cache m_owners;
    job_ownership m_ownership;
    result_committer m_committer;
    item_dispatcher m_dispatcher;
};

} // namespace eelgrassdoor::jobs
