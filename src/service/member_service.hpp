/// \file
/// Defines the service that gossips with the other daemons.
#pragma once

#include "membership/member_table.hpp"
#include "peer/message.hpp"
#include "platform/host_list.hpp"
#include "service/daemon_context.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// Keeps the member table by gossip. Thread-safe.
class member_service {
public:
    /// Hooks to the other services. They are called without a lock held.
    struct hooks {
        /// The load reports to pass on, at most as many as given.
        std::function<std::vector<peer::target_report>(std::size_t)> reports_to_send;
        std::function<void(const peer::target_report&)> on_report;
        /// Something was said of a daemon, by itself or by another.
        std::function<void(const membership::member_record&)> on_member;
        /// A daemon spoke for itself; it may have newer documents.
        std::function<void(const membership::member_record&)> on_sender;
        std::function<void(const membership::member_change&)> on_change;
    };

    member_service(runtime& shared, hooks to_others);

    void start();
    void stop() { m_ticker.stop(); }

    /// Runs \p read on the table under the lock and returns its result.
    template <typename Read> auto with_table(Read read) const {
        const absl::MutexLock lock(&m_mutex);
        return read(static_cast<const membership::member_table&>(m_table));
    }
    /// Changes what this daemon says of itself; it is said in the next round.
    void update_self(const std::function<void(membership::member_record&)>& change);
    void set_host_list(const platform::host_list& list);
    /// All records, for a daemon that has just started.
    std::string encode_members() const;
    void take_members(std::string_view text);
    /// Announces the shutdown to every daemon of the zone at once.
    void announce_leaving();

private:
    void round();
    std::optional<std::string> on_gossip(const peer::envelope& e);
    std::string pack_gossip();
    void report_changes(const std::vector<membership::member_change>& changes);

    runtime& m_shared;
    const hooks m_hooks;
    mutable absl::Mutex m_mutex;
    membership::member_table m_table ABSL_GUARDED_BY(m_mutex);
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    /// Peer endpoints of listed entry hosts, to make first contact with.
    std::vector<std::pair<std::string, std::string>> m_listed_peers ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
