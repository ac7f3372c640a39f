/// \file
/// Defines the interface to a key-value service, which an adapter implements.
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
    /// Revision of the store at the last change of this key; 0 if the key does not exist.
    std::uint64_t revision = 0;
};

/// A change of one key. For a deletion, the revision of the item is that of the deletion.
struct kv_event {
    kv_item item;
    bool deleted = false;
};

/// Consecutive items with one prefix, in key order.
struct kv_page {
    std::vector<kv_item> items;
    /// Whether the prefix has keys after the last item.
    bool has_more = false;
    /// Revision of the store when the page was read.
    std::uint64_t store_revision = 0;
};

/// The changes of one prefix up to a revision.
struct kv_changes {
    std::vector<kv_event> events;
    /// The changes are complete up to this revision of the store.
    std::uint64_t store_revision = 0;
};

/// The store has compacted the history that a watch needs; the keys must be read again.
struct history_lost {};

using watch_outcome = std::variant<kv_changes, history_lost>;

/// Requires that a key still has this revision, or that it does not exist if the revision is 0.
struct kv_condition {
    std::string key;
    std::uint64_t revision = 0;
};

/// Sets the value of one key.
struct kv_write {
    std::string key;
    std::string value;
    /// Lease whose end deletes the key; 0 for none.
    std::uint64_t lease = 0;
};

/// Writes and deletions that take effect atomically if all conditions hold.
struct kv_transaction {
    std::vector<kv_condition> conditions;
    std::vector<kv_write> writes;
    std::vector<std::string> deletes;
};

/// Maximum number of conditions, writes and deletions in one transaction.
inline constexpr std::size_t max_transaction_entries = 32;

/// The transaction took effect at this revision.
struct kv_committed {
    std::uint64_t revision = 0;
};
/// A condition did not hold and nothing was changed.
struct kv_conflict {
    /// The current items of all conditions, in their order.
    std::vector<kv_item> current;
};
/// A write names a lease that has ended; nothing was changed.
struct kv_lease_ended {};

using commit_outcome = std::variant<kv_committed, kv_conflict, kv_lease_ended>;

/// A granted lease. Ends, with its keys, when it is not renewed within `ttl`.
struct kv_lease {
    std::uint64_t id = 0;
    duration ttl{};
};

/// Consistency of a read. A linearizable read sees the latest acknowledged write; a stale one may
/// not, but is far cheaper.
enum class consistency { linearizable, stale };

/// The calls of the key-value service. The run_state of an error says whether a change may have
/// taken effect: not_run when the store refused it, unknown when the response was lost. In the
/// latter case the change may even take effect later, as long as its conditions hold. A call that
/// the store refuses for good, such as one with a value that is too long, fails with
/// error_code::invalid_request; to repeat it does not help.
struct kv_store {
    template <typename T> using reply = net::task<result<T>>;

    /// Returns the item, or nothing if the key does not exist.
    std::function<reply<std::optional<kv_item>>(std::string key, consistency)> get;
    /// Returns a page of the items with a prefix whose keys sort after \p after.
    std::function<reply<kv_page>(std::string prefix, std::string after, consistency)> list;
    /// Waits up to \p wait for changes of a prefix after \p revision. Returns no events when there
    /// were none in that time.
    std::function<reply<watch_outcome>(std::string prefix, std::uint64_t revision, duration wait)>
        watch;
    /// Executes a transaction of at most max_transaction_entries.
    std::function<reply<commit_outcome>(kv_transaction)> commit;
    /// Grants a lease; the result has the granted time to live.
    std::function<reply<kv_lease>(duration ttl)> grant_lease;
    /// Extends a lease by its time to live. Returns false if it has ended.
    std::function<reply<bool>(std::uint64_t lease)> renew_lease;
    /// Ends a lease and deletes its keys. Returns false if it had already ended.
    std::function<reply<bool>(std::uint64_t lease)> end_lease;
};

} // namespace eelgrassdoor::store
