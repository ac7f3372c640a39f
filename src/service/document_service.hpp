/// \file
/// Defines the service that keeps configuration and host list up to date.
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

/// Two delegates of each zone poll the platform; the other daemons hear of newer versions by
/// gossip and pull them from the peer that told them. Polling takes the place of watches: it costs
/// two calls a second for each zone, and cannot go silent. Thread-safe.
class document_service {
public:
    document_service(runtime& shared, platform::config_repository& repository,
                     member_service& members);

    /// Called with each newer host list.
    void on_host_list(std::function<void(const platform::host_list&)> hook) {
        m_host_list_hook = std::move(hook);
    }
    void start();
    void stop();

    /// A daemon was heard; pulls from it when its versions are newer.
    void note_member(const membership::member_record& heard);
    /// Puts a document in force when it is newer.
    void offer(const config::document_ptr& doc);
    [[nodiscard]] platform::host_list_ptr hosts() const;
    /// Whether the platform's own list was read within \p age.
    [[nodiscard]] bool host_list_fresh(duration age) const;

private:
    /// Where a newer document was seen.
    struct sighting {
        std::uint64_t version = 0;
        std::string endpoint;
    };

    void poll();
    void pull();
    void pull_one(peer::document_kind kind, const sighting& from);
    void take_host_list(platform::host_list list);
    std::uint64_t own_version(peer::document_kind kind) const;
    peer::bulk_message serve(const peer::bulk_message& request) const;

    runtime& m_shared;
    platform::config_repository& m_repository;
    member_service& m_members;
    platform::host_list_client m_host_list_client;
    std::function<void(const platform::host_list&)> m_host_list_hook;
    mutable absl::Mutex m_mutex;
    platform::host_list_ptr m_hosts ABSL_GUARDED_BY(m_mutex);
    time_point m_hosts_read_at ABSL_GUARDED_BY(m_mutex){};
    std::map<peer::document_kind, sighting> m_newer ABSL_GUARDED_BY(m_mutex);
    bool m_members_pulled ABSL_GUARDED_BY(m_mutex) = false;
    ticker m_poller;
    ticker m_puller;
};

} // namespace eelgrassdoor::service
