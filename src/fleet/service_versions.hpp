/// \file
/// Defines how daemons know which software versions may have begun a stream.
#pragma once

#include "net/asio.hpp"
#include "observe/decision_log.hpp"
#include "routing/version_history.hpp"
#include "store/kv_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// Key of the versions that are in service or were a short while ago.
inline constexpr std::string_view service_versions_key = "egd/versions";

/// Text form of versions: a JSON object that maps each service to an array of versions.
std::string to_json(const routing::versions_by_service& versions);
/// Nothing when \p text is malformed.
std::optional<routing::versions_by_service> versions_from_json(std::string_view text);

/// Knows which versions of a service may have begun a stream that a caller takes up now: those of
/// its targets, and those whose last target has gone since the oldest such stream began. The
/// versions are also kept in the key-value service, so that they outlive a restart of all daemons.
/// Daemons that watch the key-value service write them whenever they change, the others only read
/// them at their start. Not thread-safe.
class service_versions {
public:
    service_versions(net::asio::any_io_executor executor, store::kv_store& store, clock_fn clock,
                     observe::decision_log& log, bool first_start);

    /// Whether this daemon writes changes to the key-value service. Must be set before start().
    std::function<bool()> is_writer;
    /// Starts to read the versions and to write their changes.
    void start();

    /// Takes over the current targets.
    void set_targets(std::span<const routing::fleet_target> targets);
    /// The versions of \p service that may have begun a stream. Returns nothing while this is not
    /// known: before the versions have been read, or for as long as a stream may last after the
    /// start if an older build has written none or they are malformed.
    [[nodiscard]] std::optional<routing::version_set> candidates(std::string_view service) const;

    /// Revision of the stored versions that this daemon has read or written last; 0 before.
    [[nodiscard]] std::uint64_t stored_revision() const { return m_stored_revision; }
    /// When it has done so; nothing before.
    [[nodiscard]] std::optional<time_point> synced_at() const { return m_synced_at; }

private:
    net::task<> run();
    net::task<> read();
    net::task<> write(routing::versions_by_service versions);
    /// Takes over what the key-value service holds. Returns false when there are no valid versions.
    bool adopt(const std::optional<store::kv_item>& item);

    net::asio::any_io_executor m_executor;
    store::kv_store& m_store;
    clock_fn m_clock;
    observe::decision_log& m_log;
    /// Whether the whole fleet is being started for the first time, so that no stream has begun.
    const bool m_first_start;
    const time_point m_started_at;
    routing::version_history m_history;
    /// What the key-value service held when it was last read or written; nothing before.
    std::optional<routing::versions_by_service> m_stored;
    std::uint64_t m_stored_revision = 0;
    std::optional<time_point> m_synced_at;
    /// Whether m_history covers the time before the start.
    bool m_knows_earlier = false;
};

} // namespace eelgrassdoor::fleet
