/// \file
/// Defines the service that keeps the configuration and the host list up to date.
#pragma once

#include "platform/config_repository.hpp"
#include "platform/host_list.hpp"
#include "service/daemon_context.hpp"
#include "service/member_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <string>

namespace eelgrassdoor::service {

/// Two delegates in each zone poll the platform once a second; the other daemons learn of newer
/// versions by gossip and pull them from the peer that announced them. Polling is used instead of
/// watches because it cannot stall unnoticed; the two delegates cost two polls a second per zone.
/// Thread-safe.
class document_service {
public:
    document_service(daemon_context& context, platform::config_repository& repository,
                     member_service& members);

    /// Sets the function called with each newer host list; it must be set. Call before start().
    void on_host_list(std::function<void(const platform::host_list&)> hook) {
        m_host_list_hook = std::move(hook);
    }
    /// Starts to poll the platform and to pull announced documents.
    void start();
    void stop();

    /// Handles a record that a daemon sent about itself: pulls the documents of which that daemon
    /// has a newer version, in the background. The first call also pulls the member list.
    void handle_sender_record(const membership::member_record& peer_record);
    /// Makes \p doc the current configuration if it is newer than the current one.
    void offer(const config::document_ptr& doc);
    /// The newest host list known; never null, empty with version 0 before the first one.
    [[nodiscard]] platform::host_list_ptr hosts() const;
    /// Whether this daemon itself read the host list from the platform within the last \p age.
    [[nodiscard]] bool host_list_fresh(duration age) const;

private:
    /// A peer that has a newer version of a document.
    struct version_source {
        std::uint64_t version = 0;
        std::string endpoint;
    };

    /// Reads both documents from the platform, if this daemon is a delegate or has no
    /// configuration yet.
    void poll();
    /// Fetches the newer documents that were announced since the last call.
    void pull();
    /// Pulls one document from a peer and applies it. A failed pull is repeated when a peer
    /// announces the version again.
    void fetch_document(peer::document_kind kind, const version_source& source);
    /// Stores the list and passes it to the other services, if it is newer than the one known.
    void apply_host_list(platform::host_list list);
    /// The version of the configuration or host list that this daemon has; 0 while it has none.
    std::uint64_t local_version(peer::document_kind kind) const;
    peer::bulk_message serve_document(const peer::bulk_message& request) const;

    daemon_context& m_context;
    platform::config_repository& m_repository;
    member_service& m_members;
    platform::host_list_client m_host_list_client;
    std::function<void(const platform::host_list&)> m_host_list_hook;
    mutable absl::Mutex m_mutex;
    platform::host_list_ptr m_hosts ABSL_GUARDED_BY(m_mutex);
    /// When this daemon itself last read the host list from the platform.
    time_point m_hosts_read_at ABSL_GUARDED_BY(m_mutex){};
    /// Newer versions that peers announced and that are still to be pulled.
    std::map<peer::document_kind, version_source> m_newer_versions ABSL_GUARDED_BY(m_mutex);
    /// Whether the member list was pulled, or is to be pulled by the next call of pull().
    bool m_members_pulled ABSL_GUARDED_BY(m_mutex) = false;
    ticker m_poller;
    ticker m_puller;
};

} // namespace eelgrassdoor::service
