/// \file
/// Defines the service that runs batch lanes of targets and asks other daemons' lanes for slots.
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

/// What this daemon wants of one target's batch slots.
struct lane_wish {
    std::string target;
    std::uint32_t in_use = 0;
    std::uint32_t want = 0;
    double weight = 1;
};

/// Thread-safe.
class lane_service {
public:
    lane_service(runtime& shared, member_service& members, target_service& targets);

    void start();
    void stop() { m_ticker.stop(); }

    /// Asks the lanes; returns the slots granted by target. A lane that does not answer grants
    /// nothing new.
    std::map<std::string, std::uint32_t> ask(const std::vector<lane_wish>& wishes);
    /// Called when a lane changes what this daemon may use of a target. Streams above it must stop.
    void on_change(std::function<void(const std::string& target, std::uint32_t granted)> hook) {
        m_change_hook = std::move(hook);
    }
    /// This daemon has sent an online request to a target, or one has ended.
    void note_online(const std::string& target);
    /// The batch streams that a lane of this daemon has granted.
    std::uint32_t batch_streams(const std::string& target) const;

private:
    /// The daemon that runs a lane; empty when no daemon of the zone is live.
    struct lane_owner {
        std::string host;
        std::string endpoint;
    };

    lane_owner owner_of(const std::string& target) const;
    void repeat_online();
    void apply_online(const std::string& from_host, const peer::online_load& load);
    peer::lane_answer answer(const std::string& from_host, const peer::lane_ask& ask);
    batch::lane& lane_of(const std::string& target) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    runtime& m_shared;
    member_service& m_members;
    target_service& m_targets;
    std::function<void(const std::string&, std::uint32_t)> m_change_hook;
    mutable absl::Mutex m_mutex;
    std::map<std::string, batch::lane, std::less<>> m_lanes ABSL_GUARDED_BY(m_mutex);
    /// Targets on which this daemon has online requests.
    std::set<std::string> m_online_targets ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
