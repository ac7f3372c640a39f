/// \file
/// Defines the in-memory store behind the key-value stand-in, with the gateway's JSON forms.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace eelgrassdoor::stand_in {

/// Keys with revisions and leases. Thread-safe.
class key_value_store {
public:
    using json = nlohmann::json;

    json range(const json& in);
    json put(const json& in);
    json txn(const json& in);
    json grant(const json& in);
    json revoke(const json& in);
    json keep_alive(const json& in);
    std::int64_t revision();
    /// The events of a watch from revision \p since_revision on.
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
