/// \file
/// Defines the table of the jobs that a daemon owns and of their running items.
#pragma once

#include "jobs/job_call.hpp"
#include "jobs/owned_job.hpp"
#include "net/notification.hpp"
#include "serving/service_context.hpp"
#include "serving/target_exchange.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// Identity of this daemon, and the clocks and connection states that a job runner depends on.
struct runner_options {
    fleet::member self;
    /// Whether this daemon's registration cannot have expired yet. Only then can no other daemon
    /// have adopted its jobs.
    std::function<bool()> registration_valid;
    /// Generation of the registration; see fleet::registration::generation().
    std::function<std::uint64_t()> registration_generation;
    /// Since when the key-value service has been reachable; time_point::max() while it is not.
    std::function<time_point()> store_connected_since;
    /// Whether the key-value service has reported that a caller cancelled \p job. Later reports
    /// are passed to job_table::mark_cancelled().
    std::function<bool(const std::string& job)> is_cancelled;
    /// Time after a job's cancellation within which its items may still be sent to targets.
    duration max_cancellation_delay = seconds(3);
    /// Whether is_cancelled() is known to cover every cancellation acknowledged before \p since.
    std::function<bool(time_point since)> knows_cancellations;
    /// The same; asks the key-value service if need be.
    std::function<net::task<bool>(time_point since)> confirm_cancellations;
    /// Whether the serving plan is known to hold every configuration that was acknowledged before
    /// \p since; asks the key-value service if need be.
    std::function<net::task<bool>(time_point since)> confirm_plan;
    /// Longest value that the key-value service takes, in bytes.
    std::size_t max_value_bytes = default_max_value_bytes;
    /// Returns the time in Unix milliseconds.
    std::function<std::int64_t()> wall_clock;
};

using job_ptr = std::shared_ptr<owned_job>;

/// One run of an item at a target.
struct item_run {
    job_ptr job;
    std::size_t index = 0;
    std::shared_ptr<serving::target_exchange> exchange;
    time_point started_at;
    /// Whether stop() was called.
    bool stopped = false;

    /// Closes the exchange with the target; the run ends as interrupted.
    void stop();
};
using item_run_ptr = std::shared_ptr<item_run>;

/// State shared by the components of a job runner. Not thread-safe: all members run on the event
/// loop's thread.
class job_table {
public:
    job_table(serving::service_context& context, const runner_options& options)
        : m_context(context), m_options(options), dispatch_wake(context.executor),
          commit_wake(context.executor), adopt_wake(context.executor) {}

    /// The job with id \p job, or null when this daemon does not have it.
    [[nodiscard]] job_ptr find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, job_ptr, std::less<>>& all() const { return m_jobs; }

    /// Generation of this daemon's registration, or none while that may have expired.
    [[nodiscard]] std::optional<std::uint64_t> registration_generation() const;
    /// Whether the job's results in memory are up to date; see owned_job::is_authoritative().
    [[nodiscard]] bool is_authoritative(const owned_job& job) const;
    /// Adds a job that this daemon owns according to the store, and wakes dispatcher and committer.
    void add(versioned_state record, std::vector<serving::submitted_item> items,
             std::vector<serving::item_result> committed_results);
    /// Removes a job that another daemon owns now, and stops its runs. \p reason is logged.
    void drop(const std::string& job, std::string_view reason);
    /// Marks a job as cancelled by a caller, and stops its runs.
    void mark_cancelled(const std::string& job);
    /// Removes jobs that finished more than the retention period of 120 s ago; the store still has
    /// them. Call it regularly, since the period begins with the first call after the job finished.
    void evict_finished();
    /// Gives up the pending items of jobs whose route is gone or that have been in the table for
    /// the item lifetime. A route that is not in the plan is gone only once the plan is confirmed
    /// to be newer than the job, as the plan of an outdated daemon may lack a route that was added.
    /// A job that was taken over may live longer: the host's clock at its submission does not tell
    /// its age, and items must not be given up early.
    void fail_expired_items();
    /// Whether no job in the table is unfinished.
    [[nodiscard]] bool is_drained() const;

    /// Waiting tokens by backlog key, or for one backlog_key(), including those of jobs that are
    /// being created.
    [[nodiscard]] std::vector<fleet::waiting_tokens> waiting_tokens() const;
    [[nodiscard]] std::uint64_t waiting_tokens(std::uint64_t key) const;
    /// Counts the tokens of a job as waiting while it is being created, until release_waiting().
    void reserve_waiting(std::uint64_t key, std::uint64_t tokens) { m_reserved[key] += tokens; }
    void release_waiting(std::uint64_t key, std::uint64_t tokens) { m_reserved[key] -= tokens; }

    /// Waits for wake_readers(), at most until \p deadline.
    net::task<> wait_for_results(time_point deadline);
    /// Resumes all reads that wait; call when results, owners or states of jobs have changed.
    void wake_readers();
    /// Wakes the committer when it has to confirm the state of a job with the store.
    void wake_committer_if_unconfirmed();

    /// The route of a job in the current plan; null when there is none.
    [[nodiscard]] const config::serving_route* route_of(const owned_job& job) const;

private:
    /// Gives up the pending items of jobs whose route is confirmed to be gone.
    net::task<> fail_jobs_without_route();
    /// Ids of the unfinished jobs whose route is not in the plan.
    [[nodiscard]] std::vector<std::string> jobs_without_route() const;

    serving::service_context& m_context;
    const runner_options& m_options;
    /// Whether fail_jobs_without_route() runs.
    bool m_confirms_routes = false;
    std::map<std::string, job_ptr, std::less<>> m_jobs;
    /// When each job was added.
    std::map<std::string, time_point, std::less<>> m_added_at;
    /// When each finished job is to be removed.
    std::map<std::string, time_point, std::less<>> m_evict_at;
    /// Tokens of jobs that are being created, by backlog key.
    std::map<std::uint64_t, std::uint64_t> m_reserved;
    std::list<std::shared_ptr<net::notification>> m_readers;

public:
    /// Running items, in the order in which they were started.
    std::list<item_run_ptr> running;
    /// Wakes the dispatcher: items may have become runnable or slots free.
    net::notification dispatch_wake;
    /// Wakes the committer: it may have results to commit or jobs to confirm or hand over.
    net::notification commit_wake;
    /// Wakes the scan for orphaned jobs.
    net::notification adopt_wake;
    /// Whether this daemon is draining: it accepts no jobs and hands over those that it has.
    bool draining = false;
};

/// Hash that identifies a customer's backlog on a route in load reports between daemons.
std::uint64_t backlog_key(std::string_view customer, std::string_view route);

} // namespace eelgrassdoor::jobs
