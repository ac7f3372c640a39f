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

/// Every 50 ms, and whenever an item ends, sends waiting items to targets on which this daemon has
/// granted batch slots. Thread-safe.
class item_dispatcher {
public:
    item_dispatcher(daemon_context& context, member_service& members, target_service& targets,
                    batch_slot_service& batch_slots, job_table& table);

    /// Starts to request batch slots and to send items.
    void start();
    void stop() { m_ticker.stop(); }

private:
    /// A batch slot in which an item may be run now.
    struct free_slot {
        std::string target;
        std::string endpoint;
        std::string model;
    };

    void step();
    /// Requests slots from the allocators of the targets and stores the grants.
    void renew_grants();
    /// The requests to the allocators of up to 16 targets, chosen by hash of this host's name.
    std::vector<batch_slot_request> make_slot_requests();
    /// The granted slots that are not in use, without those of targets in backoff.
    std::vector<free_slot> free_slots();
    /// Fills the free slots with items of the jobs that the scheduler picks.
    void dispatch();
    /// Whether the job is running, has a waiting item and a record that is recent enough to rely
    /// on.
    bool can_dispatch(const owned_job& job, time_point now,
                      bool platform_unreachable_for_all) const;
    /// The jobs for which can_dispatch() holds, with what the scheduler needs to know of them.
    std::vector<batch::ready_job> ready_jobs(const config::sheet& sheet, time_point now,
                                             bool platform_unreachable_for_all) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Sends the next item of \p job; returns whether one was sent.
    bool dispatch_next(const std::shared_ptr<owned_job>& job, const free_slot& slot,
                       const config::sheet& sheet) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Runs an item on a worker thread until it has ended.
    void run_item(const std::shared_ptr<owned_job>& job, const item_task& task,
                  const std::shared_ptr<running_item>& item);
    /// Records a result, or schedules another attempt.
    void handle_result(owned_job& job, const item_task& task, const attempt_result& attempt)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Records an error line as the item's final result.
    void fail_item(owned_job& job, std::uint64_t index, std::string_view custom_id,
                   std::string_view code, std::string_view message)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Stores a changed grant, and stops the most recently started items in excess of it.
    void apply_grant_change(const std::string& target, std::uint32_t granted);
    /// The number of items that run on \p target.
    std::uint32_t in_use(std::string_view target) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Whether this daemon cannot reach the key-value service and no other live daemon can.
    bool is_platform_unreachable_for_all() const;

    daemon_context& m_context;
    member_service& m_members;
    target_service& m_targets;
    batch_slot_service& m_batch_slots;
    job_table& m_table;
    batch::scheduler m_scheduler ABSL_GUARDED_BY(m_table.mutex);
    /// Slots granted by target.
    std::map<std::string, std::uint32_t, std::less<>> m_granted ABSL_GUARDED_BY(m_table.mutex);
    /// Until when targets get no items after a failed attempt.
    std::map<std::string, time_point, std::less<>> m_backoff_until ABSL_GUARDED_BY(m_table.mutex);
    time_point m_next_grant_renewal{};
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
