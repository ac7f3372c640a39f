/// \file
/// Defines which items are run where and when, and which runs make room for online requests.
#pragma once

#include "batch/scheduler.hpp"
#include "jobs/job_table.hpp"

#include <set>
#include <string>

namespace eelgrassdoor::jobs {

/// Offers items to targets with free slots: customers in turn, the earliest due job of each first.
class item_dispatcher {
public:
    item_dispatcher(serving::host_context& context, const runner_options& options,
                    job_table& table);
    void start();

private:
    net::task<> dispatch_loop();
    void dispatch();
    /// Starts one item; false when none is left that could be started.
    bool start_next(std::set<std::string, std::less<>>& full_services);
    net::task<> run_item(running_ptr running, routing::fleet_target target);
    void stop_streams();
    void stop_streams_at(const std::string& target, int count);
    [[nodiscard]] bool may_dispatch() const;

    serving::host_context& m_context;
    const runner_options& m_options;
    job_table& m_table;
    batch::scheduler m_scheduler;
};

} // namespace eelgrassdoor::jobs
