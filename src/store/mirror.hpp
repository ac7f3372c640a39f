/// \file
/// Defines the replica of some prefixes of the key-value service. Pure: no I/O.
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

/// The keys of one prefix as one daemon knows them.
struct mirror_snapshot {
    std::string prefix;
    /// Everything up to this revision of the store is contained.
    std::uint64_t revision = 0;
    std::vector<kv_item> items;
};

/// Replicas of prefixes. A key never goes back to an older revision, whether news of it comes from
/// the store or from another daemon.
class mirror {
public:
    /// Called after the keys of a prefix have changed.
    using change_handler = std::function<void(std::string_view prefix)>;

    explicit mirror(std::vector<std::string> prefixes);

    void on_change(change_handler handler) { m_on_change = std::move(handler); }

    /// Takes in all keys of a prefix. Keys that are missing were deleted by that revision.
    void apply_snapshot(const mirror_snapshot& snapshot);
    /// Takes in changes from the watch.
    void apply_changes(std::string_view prefix, const kv_changes& changes);

    /// The revision up to which the prefix is known; 0 before the first snapshot.
    [[nodiscard]] std::uint64_t revision(std::string_view prefix) const;
    /// The highest revision of any change that is contained.
    [[nodiscard]] std::uint64_t content_revision(std::string_view prefix) const;
    [[nodiscard]] const std::map<std::string, kv_item, std::less<>>&
    items(std::string_view prefix) const;
    [[nodiscard]] const kv_item* find(std::string_view key) const;
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
