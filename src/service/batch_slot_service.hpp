/// \file
/// Defines the service that allocates targets' slots to batch jobs and requests them from peers.
#pragma once

#include "batch/slot_allocator.hpp"
#include "service/daemon_context.hpp"
#include "service/member_service.hpp"
#include "service/target_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// A request for batch slots of one target.
struct batch_slot_request {
    std::string target;
    /// Slots in which this daemon runs batch items now.
    std::uint32_t in_use = 0;
    /// Slots wanted in total.
    std::uint32_t want = 0;
    /// Weight against other daemons: the sum, over the jobs with waiting items, of their customers'
    /// weights.
    double weight = 1;
};

/// The slots of each target are allocated by one daemon of the target's zone, chosen by hash. This
/// service is the allocator for some targets and a client of other daemons' allocators for the
/// rest. Thread-safe.
class batch_slot_service {
public:
    batch_slot_service(daemon_context& context, member_service& members, target_service& targets);

    /// Starts to resend the online load of each target periodically.
    void start();
    void stop() { m_ticker.stop(); }

    /// Requests slots from the allocators of the targets, in parallel; returns the slots granted
    /// by target. Targets whose allocator does not answer within 100 ms are left out.
    std::map<std::string, std::uint32_t>
    request_slots(const std::vector<batch_slot_request>& requests);
    /// Sets the function called when an allocator changes the number of slots that this daemon may
    /// use on a target; it must stop the batch items in excess of \p granted. Without it, changes
    /// are ignored. Call before the daemon is started.
    void
    on_grant_change(std::function<void(const std::string& target, std::uint32_t granted)> hook) {
        m_grant_change_hook = std::move(hook);
    }
    /// Reports this daemon's number of online requests on \p target to its allocator. Call when an
    /// online request is sent there or ends.
    void report_online_load(const std::string& target);
    /// The number of slots that this daemon, as the allocator of \p target, has granted to batch
    /// items there; 0 when it is not the allocator.
    std::uint32_t granted_batch_streams(const std::string& target) const;

private:
    /// The daemon that allocates a target's slots; empty when no daemon of the zone is live.
    struct allocator_host {
        std::string host;
        std::string endpoint;
    };

    /// The daemon that allocates the batch slots of \p target.
    allocator_host allocator_of(const std::string& target) const;
    /// Repeats report_online_load() for every target with online requests, in case a report was
    /// lost.
    void resend_online_loads();
    /// Updates the allocator and notifies the daemons whose grants change.
    void apply_online_load(const std::string& from_host, const peer::online_load& load);
    /// Handles a request as the allocator of its target. Grants nothing, with is_allocator unset,
    /// when another daemon is the allocator or no configuration is known yet.
    peer::batch_grant_response grant_slots(const std::string& from_host,
                                           const peer::batch_grant_request& request);
    /// The allocator of \p target's batch slots on this daemon, created on first use.
    batch::slot_allocator& find_or_create_allocator(const std::string& target)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    daemon_context& m_context;
    member_service& m_members;
    target_service& m_targets;
    std::function<void(const std::string&, std::uint32_t)> m_grant_change_hook;
    mutable absl::Mutex m_mutex;
    std::map<std::string, batch::slot_allocator, std::less<>> m_allocators ABSL_GUARDED_BY(m_mutex);
    /// Targets on which this daemon has online requests.
    std::set<std::string> m_online_targets ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
