/// \file
/// Defines the scheduling of batch items on targets and their preemption by online requests.
#pragma once

#include "batch/scheduler.hpp"
#include "jobs/cancellation_news.hpp"
#include "jobs/dispatch_round.hpp"
#include "jobs/job_table.hpp"
#include "jobs/run_time_estimator.hpp"
#include "jobs/slot_arbiter.hpp"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::jobs {

/// Assigns items to targets with free slots. Items that can still finish by their due time have
/// precedence over all others; after that customers take turns, and within a customer the job that
/// is due first is chosen. Not thread-safe: all members run on the event loop's thread.
class item_dispatcher {
public:
    item_dispatcher(serving::service_context& context, const runner_options& options,
                    job_table& table);
    /// Starts the dispatch coroutine on the event loop.
    void start();

private:
    net::task<> dispatch_loop();
    /// Starts items until no waiting item has a free slot.
    void dispatch();
    /// An item to run, and the service that would run it.
    struct candidate {
        job_ptr job;
        std::size_t index = 0;
        std::string service;
        /// Whether the item is expected to finish by the job's due time.
        bool meets_deadline = false;
    };
    /// The next item of each job that \p round does not hold. When any of these items can finish by
    /// its due time, only those that can are returned.
    [[nodiscard]] std::vector<candidate> candidates(dispatch_round& round);
    /// Starts one item, or has \p round hold it when there is no free slot for it. Returns false
    /// when there is no candidate left, or none may start before it is known which jobs are
    /// cancelled.
    bool start_next(dispatch_round& round);
    /// Records that texts of this version wait for a free slot of \p service.
    void begin_wait(const std::string& service, const std::string& version);
    /// Whether an item must not run now because targets crash on a segment of its prompt.
    [[nodiscard]] bool is_quarantined(const owned_item& item) const;
    /// The next item of \p job that may run now, and its service; nothing when there is none.
    [[nodiscard]] std::optional<candidate>
    next_item(const job_ptr& job, const config::serving_route& route, dispatch_round& round) const;
    /// Runs one item at \p target and records the outcome.
    net::task<> run_item(item_run_ptr running, routing::fleet_target target);
    /// Stops runs at targets whose slots are needed for online requests.
    /// Ends a run whose request was not sent because its target has no permit left.
    void withdraw_run(const item_run_ptr& running);
    void preempt_runs();
    /// Stops up to \p count runs at \p target, the most recently started first.
    void preempt_runs_at(const std::string& target, int count);
    [[nodiscard]] cancellation_news::options news_options();
    /// Whether this daemon may run items of the jobs it holds.
    [[nodiscard]] bool may_dispatch() const;
    /// The live daemons that run jobs, including this one.
    [[nodiscard]] std::vector<job_daemon> job_daemons() const;

    serving::service_context& m_context;
    const runner_options& m_options;
    job_table& m_table;
    batch::scheduler m_scheduler;
    run_time_estimator m_estimator;
    slot_arbiter m_slot_arbiter;
    cancellation_news m_cancellations;
};

} // namespace eelgrassdoor::jobs
