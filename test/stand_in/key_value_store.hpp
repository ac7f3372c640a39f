/// \file
/// Defines an in-memory key-value store with the JSON messages of the etcd v3 gateway.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace eelgrassdoor::stand_in {

/// Key-value pairs with revisions and leases. Requests and responses have the form of the etcd v3
/// JSON gateway: keys and values in base64, 64-bit integers as strings. A request that lacks a
/// required field throws nlohmann::json::exception. range, put, txn and keep_alive
/// first remove expired leases. Watches report puts only, no deletions. Thread-safe.
class key_value_store {
public:
    using json = nlohmann::json;

    /// Returns the pair of `key`, or those from `key` up to but without `range_end`, at most
    /// `limit`.
    json range(const json& in);
    /// Sets the value and the lease of one key.
    json put(const json& in);
    /// Runs `success` when all comparisons of `compare` hold, or else `failure`, atomically.
    /// Comparisons test for equality only.
    json txn(const json& in);
    /// Creates a lease of `TTL` seconds.
    json grant(const json& in);
    /// Removes a lease and the keys attached to it.
    json revoke(const json& in);
    /// Renews a lease; the response has a TTL of 0 when it no longer exists.
    json keep_alive(const json& in);
    /// Returns the revision of the last change.
    std::int64_t revision();
    /// Returns the watch events of the range in \p request from \p since_revision on.
    json changes_since(const json& request, std::int64_t since_revision);

private:
    struct entry {
        std::string value;
        std::int64_t created = 0;
        std::int64_t modified = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };
    struct lease {
        std::int64_t ttl_s = 0;
        std::int64_t expires_s = 0;
    };

    // The caller of the following functions holds the mutex.
    json range_locked(const json& in);
    json put_locked(const json& in);
    json delete_locked(const json& in);
    json run_operation(const json& operation);
    bool compare(const json& in);
    void remove_expired_leases();
    static json to_json(const std::string& key, const entry& e);
    json header() const;

    std::mutex m_mutex;
    std::map<std::string, entry> m_entries;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1;
};

} // namespace eelgrassdoor::stand_in
