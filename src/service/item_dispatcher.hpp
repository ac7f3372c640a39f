/// \file
/// Defines the service that runs the items of owned jobs.
#pragma once

#include "batch/scheduler.hpp"
#include "service/batch_slot_service.hpp"
#include "service/daemon_context.hpp"
#include "service/job_table.hpp"
#include "service/member_service.hpp"
#include "service/target_service.hpp"
#include "service/ticker.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// Sends items into the slots that the lanes of the targets grant. Thread-safe.
class item_dispatcher {
public:
    item_dispatcher(runtime& shared, member_service& members, target_service& targets,
                    lane_service& lanes, job_table& table);

    void start();
    void stop() { m_ticker.stop(); }

private:
    /// A target on which an item may run now.
    struct free_slot {
        std::string target;
        std::string endpoint;
        std::string model;
    };

    void step();
    /// Tells the lanes what this daemon wants and takes in what they grant.
    void renew_lanes();
    std::vector<lane_wish> make_wishes();
    std::vector<free_slot> free_slots();
    void dispatch();
    bool may_send(const owned_job& job, time_point now, bool platform_out_for_all) const;
    std::vector<batch::ready_job> ready_jobs(const config::sheet& sheet, time_point now,
                                             bool platform_out_for_all) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Sends the next item of \p job; returns whether one was sent.
    bool send_next(const std::shared_ptr<owned_job>& job, const free_slot& slot,
                   const config::sheet& sheet) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void run_item(const std::shared_ptr<owned_job>& job, const item_task& task,
                  const std::shared_ptr<running_item>& item);
    void take_end(owned_job& job, const item_task& task, const item_end& end)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void end_with_error(owned_job& job, std::uint64_t index, std::string_view custom_id,
                        std::string_view code, std::string_view message)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Takes in what a lane grants now, and stops the youngest items above it.
    void take_change(const std::string& target, std::uint32_t granted);
    std::uint32_t in_use(std::string_view target) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Whether this daemon cannot reach the key-value service and no other live daemon can.
    bool platform_out_for_all() const;

    runtime& m_shared;
    member_service& m_members;
    target_service& m_targets;
    lane_service& m_lanes;
    job_table& m_table;
    batch::scheduler m_scheduler ABSL_GUARDED_BY(m_table.mutex);
    std::map<std::string, std::uint32_t, std::less<>> m_granted ABSL_GUARDED_BY(m_table.mutex);
    /// Targets that failed an item lately.
    std::map<std::string, time_point, std::less<>> m_rest_until ABSL_GUARDED_BY(m_table.mutex);
    time_point m_next_lane_ask{};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
