/// \file
/// Defines how daemons know which software versions may have begun a stream.
#pragma once

#include "net/asio.hpp"
#include "net/notification.hpp"
#include "observe/decision_log.hpp"
#include "routing/version_history.hpp"
#include "store/kv_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Key of the versions that are in service or were a short while ago.
inline constexpr std::string_view service_versions_key = "egd/versions";

/// Text form of versions: a JSON object that maps each service to an array of versions.
std::string to_json(const routing::versions_by_service& versions);
/// Nothing when \p text is malformed.
std::optional<routing::versions_by_service> versions_from_json(std::string_view text);

/// Knows which versions of a service may have begun a stream that a caller takes up now: those of
/// its targets, and those whose last target has gone since the oldest such stream began.
///
/// The versions are kept in the key-value service. A version is stored before the first stream
/// begins on it, see publish(), so that a read which starts after a caller has taken a stream up
/// covers the version that began it, whatever the reading daemon has heard of before. Daemons that
/// watch the key-value service also store versions when they are listed, and delete them when their
/// last targets have been gone for a while and are confirmed to be. Not thread-safe.
class service_versions {
public:
    /// How long a request waits here for the key-value service, which answers within milliseconds.
    static constexpr duration sync_timeout = milliseconds(250);

    service_versions(net::asio::any_io_executor executor, store::kv_store& store, clock_fn clock,
                     observe::decision_log& log, bool first_start);

    /// Whether this daemon stores and deletes versions by what is listed. Must be set before
    /// start().
    std::function<bool()> is_writer;
    /// Whether the key-value service has answered lately. Must be set before start().
    std::function<bool()> is_store_reachable;
    /// Has set_targets() called with all targets that are listed at the time of the call, if they
    /// are not the current ones. Returns false when they cannot be read. Must be set before
    /// start().
    std::function<net::task<bool>()> confirm_targets;
    /// Starts to read the versions and to write their changes.
    void start();

    /// Takes over the current targets.
    void set_targets(std::span<const routing::fleet_target> targets);

    /// The versions of \p service that may have begun a stream before the call, from a read that
    /// starts after it. Returns nothing when this cannot be known: the key-value service does not
    /// answer within sync_timeout, or, for as long as a stream may last, no valid versions were
    /// stored.
    net::task<std::optional<routing::version_set>> candidates(std::string service);
    /// Stores that streams may begin on this listed version; returns at once when it is known to be
    /// stored. Returns false when this is not known after sync_timeout or the key-value service is
    /// out of reach; the version is then stored when it answers again.
    net::task<bool> publish(std::string service, std::string version);

    /// Revision of the stored versions that this daemon has read or written last; 0 before.
    [[nodiscard]] std::uint64_t stored_revision() const { return m_stored_revision; }
    /// When it has done so; nothing before.
    [[nodiscard]] std::optional<time_point> synced_at() const { return m_synced_at; }

private:
    net::task<> run();
    [[nodiscard]] bool must_sync() const;
    /// What should be stored, by what this daemon knows.
    [[nodiscard]] routing::versions_by_service desired() const;
    /// Reads the versions for the requests up to \p number, and stores those that are missing.
    /// Returns false when the key-value service has not answered.
    net::task<bool> sync(std::uint64_t number);
    /// Makes sure that what desired() leaves out of the stored versions has no targets.
    net::task<bool> confirm_deletions();
    net::task<bool> read();
    net::task<bool> write(routing::versions_by_service versions);
    /// Takes over what the key-value service holds.
    void adopt(const std::optional<store::kv_item>& item);
    void set_stored(routing::versions_by_service versions, std::uint64_t revision);
    /// Whether \p version is stored, as far as this daemon has read or written.
    [[nodiscard]] bool is_stored(std::string_view service, std::string_view version) const;
    /// Requests a sync that starts after the call, and returns its number.
    std::uint64_t request_sync();
    /// Waits until \p has_ended, for sync_timeout at most.
    net::task<> wait_until(std::function<bool()> has_ended);
    void wake_waiting();

    net::asio::any_io_executor m_executor;
    store::kv_store& m_store;
    clock_fn m_clock;
    observe::decision_log& m_log;
    /// Whether the whole fleet is being started for the first time, so that no stream has begun.
    const bool m_first_start;
    /// When the versions that may have begun a stream are known.
    time_point m_complete_from;
    routing::version_history m_history;
    /// The versions of the current targets.
    routing::versions_by_service m_listed;
    /// What the key-value service held when it was last read or written; nothing before.
    std::optional<routing::versions_by_service> m_stored;
    std::uint64_t m_stored_revision = 0;
    std::optional<time_point> m_synced_at;
    /// The versions that have been stored since they were last listed anew here. A version that was
    /// not listed for a while may have been deleted.
    routing::versions_by_service m_published;
    /// The versions that publish() was called for and that are not stored yet.
    routing::versions_by_service m_claimed;
    /// Whether a request has waited in vain since the last sync.
    bool m_is_late = false;
    /// Numbers of the syncs that were requested last, whose read has succeeded, and that have
    /// ended.
    std::uint64_t m_requested = 0;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_ended = 0;
    /// Wakes run().
    net::notification m_work;
    /// Wakes the requests that wait for a sync.
    std::vector<std::shared_ptr<net::notification>> m_waiting;
};

} // namespace eelgrassdoor::fleet
