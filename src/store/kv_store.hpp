/// \file
/// Defines what eelgrassdoor needs of a key-value service: an adapter fills in the functions.
#pragma once

#include "base/error.hpp"
#include "net/asio.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::store {

/// One key with its value.
struct kv_item {
    std::string key;
    std::string value;
    /// The store's revision at the last change of this key; 0 stands for "does not exist".
    std::uint64_t revision = 0;
};

/// What happened to one key.
struct kv_event {
    kv_item item;
    bool deleted = false;
};

/// A part of the keys with one prefix, in order.
struct kv_page {
    std::vector<kv_item> items;
    bool has_more = false;
    /// The store's revision when the page was read.
    std::uint64_t store_revision = 0;
};

/// The changes up to a revision.
struct kv_changes {
    std::vector<kv_event> events;
    std::uint64_t store_revision = 0;
};

/// The store has dropped the history that a watch asked for; the keys must be read again.
struct history_lost {};

using watch_outcome = std::variant<kv_changes, history_lost>;

/// A key must still have this revision; 0: must not exist.
struct kv_condition {
    std::string key;
    std::uint64_t revision = 0;
};

struct kv_write {
    std::string key;
    std::string value;
    /// Lease that removes the key when it ends; 0 for none.
    std::uint64_t lease = 0;
};

/// Takes effect as a whole or not at all.
struct kv_transaction {
    std::vector<kv_condition> conditions;
    std::vector<kv_write> writes;
    std::vector<std::string> deletes;
};

/// Entries that one transaction may have.
inline constexpr std::size_t max_transaction_entries = 32;

struct kv_committed {
    std::uint64_t revision = 0;
};
/// A condition did not hold; the current items of all conditions.
struct kv_conflict {
    std::vector<kv_item> current;
};
/// A write named a lease that has ended.
struct kv_lease_ended {};

using commit_outcome = std::variant<kv_committed, kv_conflict, kv_lease_ended>;

struct kv_lease {
    std::uint64_t id = 0;
    duration ttl{};
};

/// Whether a read must see the latest acknowledged write. A stale read is far cheaper.
enum class consistency { linearizable, stale };

/// The calls. An error's run_state tells whether a change may take effect: not_run when the store
/// has refused it, unknown when the answer was lost; such a change may even take effect later, as
/// long as its conditions hold.
struct kv_store {
    template <typename T> using reply = net::task<result<T>>;

    /// The item, or nothing when the key does not exist.
    std::function<reply<std::optional<kv_item>>(std::string key, consistency)> get;
    /// A page of the keys with a prefix, behind the key \p after.
    std::function<reply<kv_page>(std::string prefix, std::string after, consistency)> list;
    /// Waits up to \p wait for changes behind \p revision.
    std::function<reply<watch_outcome>(std::string prefix, std::uint64_t revision, duration wait)>
        watch;
    std::function<reply<commit_outcome>(kv_transaction)> commit;
    std::function<reply<kv_lease>(duration ttl)> grant_lease;
    /// False when the lease has ended.
    std::function<reply<bool>(std::uint64_t lease)> renew_lease;
    std::function<reply<bool>(std::uint64_t lease)> end_lease;
};

} // namespace eelgrassdoor::store
