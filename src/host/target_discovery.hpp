/// \file
/// Defines how the usable targets are derived from their mirrored entries.
#pragma once

#include "fleet/target_retention.hpp"
#include "observe/decision_log.hpp"
#include "routing/fleet_load.hpp"
#include "store/kv_store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrassdoor::host {

/// Decodes the entries of targets, which may be malformed, and logs each change once. Targets whose
/// entries expired in an outage of the key-value service are retained; see fleet::target_retention.
/// Not thread-safe.
class target_discovery {
public:
    using decoder = std::function<result<routing::fleet_target>(const store::kv_item&)>;
    using entries = std::map<std::string, store::kv_item, std::less<>>;

    /// Called with each valid entry when it is first read; optional.
    std::function<void(const routing::fleet_target&)> on_entry;

    target_discovery(decoder decode, observe::decision_log& log)
        : m_decode(std::move(decode)), m_log(log) {}

    /// Returns the targets to use at \p now. Each entry is decoded once per revision; a malformed
    /// one is logged and left out.
    std::vector<routing::fleet_target>
    update(const entries& items, const fleet::store_connectivity& contact, time_point now);

private:
    /// The decoded form of an entry at one revision.
    struct decoded_entry {
        std::uint64_t revision = 0;
        /// Nothing when the entry is malformed.
        std::optional<routing::fleet_target> target;
    };

    std::vector<routing::fleet_target> decode_entries(const entries& items);
    decoded_entry decode_entry(const store::kv_item& item);
    void log_changes(const std::vector<routing::fleet_target>& used);

    decoder m_decode;
    observe::decision_log& m_log;
    fleet::target_retention m_retention;
    /// Ids of the targets that were logged as listed.
    std::set<std::string> m_listed;
    std::map<std::string, decoded_entry, std::less<>> m_decoded;
};

} // namespace eelgrassdoor::host
