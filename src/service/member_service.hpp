/// \file
/// Defines the service that exchanges membership and load data with other daemons by gossip.
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

/// Maintains the member table by gossip, at the interval of the settings. Thread-safe.
class member_service {
public:
    /// Functions that connect this service to the others; all must be set. Called without a lock
    /// held.
    struct hooks {
        /// Returns load reports to be sent, at most as many as given.
        std::function<std::vector<peer::target_report>(std::size_t)> reports_to_send;
        /// A load report was received.
        std::function<void(const peer::target_report&)> on_report;
        /// A record of a daemon was received, from that daemon or forwarded by another one.
        std::function<void(const membership::member_record&)> on_member_record;
        /// A daemon sent its own record, so it is reachable; it may have newer documents. Called
        /// after on_member_record for the same record.
        std::function<void(const membership::member_record&)> on_sender_record;
        /// The status of a member has changed.
        std::function<void(const membership::member_change&)> on_change;
    };

    member_service(daemon_context& context, hooks hooks_to_services);

    /// Starts to send gossip. Received gossip is handled as soon as the transport is started.
    void start();
    void stop() { m_ticker.stop(); }

    /// Calls \p read with the table while holding the lock, and returns its result. \p read must
    /// not call this service.
    template <typename Read> auto with_table(Read read) const {
        const absl::MutexLock lock(&m_mutex);
        return read(static_cast<const membership::member_table&>(m_table));
    }
    /// Changes this daemon's own record; the change is sent in the next round of gossip.
    void update_self(const std::function<void(membership::member_record&)>& change);
    /// Applies the platform's host list: removed and leaving hosts, and hosts to contact.
    void set_host_list(const platform::host_list& list);
    /// All records in encoded form, for a daemon that has just started.
    std::string encode_members() const;
    /// Merges records encoded by encode_members() of another daemon; invalid text is ignored.
    void merge_members(std::string_view text);
    /// Sends the announcement that this daemon is shutting down to all daemons of the zone at once.
    void announce_leaving();

private:
    /// Updates the statuses of the members and sends gossip to random peers.
    void gossip_round();
    std::optional<std::string> on_gossip(const peer::envelope& e);
    /// A gossip message with records, heartbeats and load reports, small enough for one packet.
    std::string encode_gossip();
    /// Emits an event and calls hooks::on_change for each change of a status.
    void report_changes(const std::vector<membership::member_change>& changes);

    daemon_context& m_context;
    const hooks m_hooks;
    mutable absl::Mutex m_mutex;
    membership::member_table m_table ABSL_GUARDED_BY(m_mutex);
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    /// Host and peer endpoint of each listed entry host, for first contact.
    std::vector<std::pair<std::string, std::string>> m_listed_peers ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
