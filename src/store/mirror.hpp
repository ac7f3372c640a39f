/// \file
/// Defines the local replica of some prefixes of the key-value service. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "store/kv_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::store {

/// The items of one prefix as one daemon has them.
struct mirror_snapshot {
    std::string prefix;
    /// All changes up to this revision of the store are contained.
    std::uint64_t revision = 0;
    std::vector<kv_item> items;
};

/// Holds replicas of key prefixes. A key never returns to an older revision, whether updates come
/// from the store or from another daemon. Calls with a prefix that is not mirrored have no effect
/// and return empty results. Not thread-safe.
class mirror {
public:
    /// Called after items of a prefix have changed, and after its first snapshot.
    using change_handler = std::function<void(std::string_view prefix)>;

    explicit mirror(std::vector<std::string> prefixes);

    void on_change(change_handler handler) { m_on_change = std::move(handler); }

    /// Replaces a prefix with a newer snapshot; an older one is ignored. Keys missing from the
    /// snapshot are deleted unless they were changed after its revision.
    void apply_snapshot(const mirror_snapshot& snapshot);
    /// Applies changes reported by a watch. Those at or before revision() are ignored.
    void apply_changes(std::string_view prefix, const kv_changes& changes);

    /// Revision of the store up to which the prefix is complete; 0 before the first update.
    [[nodiscard]] std::uint64_t revision(std::string_view prefix) const;
    /// The highest revision of any single change applied to the prefix.
    [[nodiscard]] std::uint64_t content_revision(std::string_view prefix) const;
    /// The current items of a prefix by key.
    [[nodiscard]] const std::map<std::string, kv_item, std::less<>>&
    items(std::string_view prefix) const;
    /// The item of a key, or null. Looks only under the first mirrored prefix that matches. Valid
    /// until the next update.
    [[nodiscard]] const kv_item* find(std::string_view key) const;
    /// Returns a copy of a prefix to send to another daemon.
    [[nodiscard]] mirror_snapshot snapshot(std::string_view prefix) const;
    [[nodiscard]] const std::vector<std::string>& prefixes() const { return m_prefixes; }

private:
    struct replica {
        std::uint64_t revision = 0;
        std::uint64_t content_revision = 0;
        std::map<std::string, kv_item, std::less<>> items;
    };

    replica* find_replica(std::string_view prefix);
    [[nodiscard]] const replica* find_replica(std::string_view prefix) const;
    static bool apply_event(replica& state, const kv_event& event);

    std::vector<std::string> m_prefixes;
    std::map<std::string, replica, std::less<>> m_replicas;
    change_handler m_on_change;
};

} // namespace eelgrassdoor::store
