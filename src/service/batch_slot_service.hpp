/// \file
/// Defines the service that runs batch lanes of targets and asks other daemons' lanes for slots.
#pragma once

#include "batch/lane.hpp"
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

/// What this daemon wants of one target's batch slots.
struct batch_slot_request {
    std::string target;
    std::uint32_t in_use = 0;
    std::uint32_t want = 0;
    double weight = 1;
};

/// Thread-safe.
class batch_slot_service {
public:
    batch_slot_service(daemon_context& context, member_service& members, target_service& targets);

    void start();
    void stop() { m_ticker.stop(); }

    /// Asks the lanes; returns the slots granted by target. A lane that does not answer grants
    /// nothing new.
    std::map<std::string, std::uint32_t>
    request_slots(const std::vector<batch_slot_request>& requests);
    /// Called when a lane changes what this daemon may use of a target. Streams above it must stop.
    void
    on_grant_change(std::function<void(const std::string& target, std::uint32_t granted)> hook) {
        m_grant_change_hook = std::move(hook);
    }
    /// This daemon has sent an online request to a target, or one has ended.
    void report_online_load(const std::string& target);
    /// The batch streams that a lane of this daemon has granted.
    std::uint32_t granted_batch_streams(const std::string& target) const;

private:
    /// The daemon that runs a lane; empty when no daemon of the zone is live.
    struct allocator_host {
        std::string host;
        std::string endpoint;
    };

    allocator_host owner_of(const std::string& target) const;
    void resend_online_loads();
    void apply_online_load(const std::string& from_host, const peer::online_load& load);
    peer::lane_answer grant_slots(const std::string& from_host, const peer::lane_ask& ask);
    batch::lane& lane_of(const std::string& target) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    daemon_context& m_context;
    member_service& m_members;
    target_service& m_targets;
    std::function<void(const std::string&, std::uint32_t)> m_grant_change_hook;
    mutable absl::Mutex m_mutex;
    std::map<std::string, batch::lane, std::less<>> m_allocators ABSL_GUARDED_BY(m_mutex);
    /// Targets on which this daemon has online requests.
    std::set<std::string> m_online_targets ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
