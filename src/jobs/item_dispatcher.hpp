/// \file
/// Defines which items are run where and when, and which runs make room for online requests.
#pragma once

#include "batch/scheduler.hpp"
#include "jobs/job_table.hpp"
#include "jobs/run_time_estimator.hpp"
#include "jobs/slot_arbiter.hpp"

#include <set>
#include <string>

namespace eelgrassdoor::jobs {

/// Offers items to targets with free slots: items that can be done in time before all others, then
/// customers in turn, then the earliest due job.
class item_dispatcher {
public:
    item_dispatcher(serving::host_context& context, const runner_options& options,
                    job_table& table);
    void start();

private:
    net::task<> dispatch_loop();
    void dispatch();
    /// A job with an item to run, and the service that would run it.
    struct candidate {
        job_ptr job;
        std::string service;
        bool in_time = false;
    };
    /// The jobs whose items go first now.
    [[nodiscard]] std::vector<candidate>
    candidates(const std::set<std::string, std::less<>>& full_services);
    /// Starts one item; false when none is left that could be started.
    bool start_next(std::set<std::string, std::less<>>& full_services);
    net::task<> run_item(running_ptr running, routing::fleet_target target);
    void stop_streams();
    void stop_streams_at(const std::string& target, int count);
    [[nodiscard]] bool may_dispatch() const;
    /// The daemons that run jobs and live, this one among them.
    [[nodiscard]] std::vector<job_daemon> job_daemons() const;

    serving::host_context& m_context;
    const runner_options& m_options;
    job_table& m_table;
    batch::scheduler m_scheduler;
    item_forecast m_forecast;
    start_turns m_turns;
};

} // namespace eelgrassdoor::jobs
