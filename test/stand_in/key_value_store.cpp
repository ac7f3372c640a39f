#include "stand_in/key_value_store.hpp"

#include "base/text.hpp"

#include <chrono>

namespace eelgrassdoor::stand_in {

namespace {

/// Returns an integer that the gateway's JSON form may give as a string; 0 when it is absent.
std::int64_t integer_field(const nlohmann::json& in, const char* name) {
    if (!in.contains(name)) {
        return 0;
    }
    return in[name].is_string() ? std::stoll(in[name].get<std::string>())
                                : in[name].get<std::int64_t>();
}

std::int64_t now_s() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

nlohmann::json key_value_store::header() const {
    return {{"revision", str_cat(m_revision)}};
}

nlohmann::json key_value_store::to_json(const std::string& key, const entry& e) {
    return {{"key", to_base64(key)},
            {"value", to_base64(e.value)},
            {"create_revision", str_cat(e.created)},
            {"mod_revision", str_cat(e.modified)},
            {"version", str_cat(e.version)}};
}

void key_value_store::remove_expired_leases() {
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.expires_s > now_s()) {
            ++it;
            continue;
        }
        ++m_revision;
        std::erase_if(m_entries, [&](const auto& e) { return e.second.lease == it->first; });
        it = m_leases.erase(it);
    }
}

nlohmann::json key_value_store::range_locked(const json& in) {
    const std::string first = from_base64(in.value("key", ""));
    const std::string end = from_base64(in.value("range_end", ""));
    const std::int64_t limit = integer_field(in, "limit");
    json kvs = json::array();
    for (auto it = m_entries.lower_bound(first); it != m_entries.end(); ++it) {
        const bool in_range = end.empty() ? it->first == first : it->first < end;
        if (!in_range || (limit > 0 && static_cast<std::int64_t>(kvs.size()) >= limit)) {
            break;
        }
        kvs.push_back(to_json(it->first, it->second));
    }
    return {{"header", header()}, {"count", str_cat(kvs.size())}, {"kvs", kvs}};
}

nlohmann::json key_value_store::put_locked(const json& in) {
    ++m_revision;
    entry& e = m_entries[from_base64(in.at("key").get<std::string>())];
    e.value = from_base64(in.value("value", ""));
    e.created = e.created == 0 ? m_revision : e.created;
    e.modified = m_revision;
    ++e.version;
    e.lease = integer_field(in, "lease");
    return {{"header", header()}};
}

nlohmann::json key_value_store::delete_locked(const json& in) {
    ++m_revision;
    const auto deleted = m_entries.erase(from_base64(in.at("key").get<std::string>()));
    return {{"header", header()}, {"deleted", str_cat(deleted)}};
}

nlohmann::json key_value_store::run_operation(const json& operation) {
    if (operation.contains("request_put")) {
        return {{"response_put", put_locked(operation["request_put"])}};
    }
    if (operation.contains("request_delete_range")) {
        return {{"response_delete_range", delete_locked(operation["request_delete_range"])}};
    }
    return {{"response_range", range_locked(operation.at("request_range"))}};
}

bool key_value_store::compare(const json& in) {
    const auto found = m_entries.find(from_base64(in.at("key").get<std::string>()));
    const entry e = found == m_entries.end() ? entry{} : found->second;
    const std::string target = in.value("target", "VERSION");
    if (target == "VALUE") {
        return e.value == from_base64(in.value("value", ""));
    }
    const std::int64_t actual = target == "MOD"      ? e.modified
                                : target == "CREATE" ? e.created
                                                     : e.version;
    const char* field = target == "MOD"      ? "mod_revision"
                        : target == "CREATE" ? "create_revision"
                                             : "version";
    return actual == integer_field(in, field);
}

nlohmann::json key_value_store::range(const json& in) {
    const std::lock_guard lock(m_mutex);
    remove_expired_leases();
    return range_locked(in);
}

nlohmann::json key_value_store::put(const json& in) {
    const std::lock_guard lock(m_mutex);
    remove_expired_leases();
    return put_locked(in);
}

nlohmann::json key_value_store::txn(const json& in) {
    const std::lock_guard lock(m_mutex);
    remove_expired_leases();
    bool succeeded = true;
    for (const json& c : in.value("compare", json::array())) {
        succeeded = succeeded && compare(c);
    }
    json responses = json::array();
    for (const json& operation : in.value(succeeded ? "success" : "failure", json::array())) {
        responses.push_back(run_operation(operation));
    }
    return {{"header", header()}, {"succeeded", succeeded}, {"responses", responses}};
}

nlohmann::json key_value_store::grant(const json& in) {
    const std::lock_guard lock(m_mutex);
    const std::int64_t ttl = integer_field(in, "TTL");
    const std::int64_t id = m_next_lease++;
    m_leases[id] = {ttl, now_s() + ttl};
    return {{"header", header()}, {"ID", str_cat(id)}, {"TTL", str_cat(ttl)}};
}

nlohmann::json key_value_store::revoke(const json& in) {
    const std::lock_guard lock(m_mutex);
    const std::int64_t id = integer_field(in, "ID");
    ++m_revision;
    std::erase_if(m_entries, [id](const auto& e) { return e.second.lease == id; });
    m_leases.erase(id);
    return {{"header", header()}};
}

nlohmann::json key_value_store::keep_alive(const json& in) {
    const std::lock_guard lock(m_mutex);
    remove_expired_leases();
    const std::int64_t id = integer_field(in, "ID");
    const auto found = m_leases.find(id);
    std::int64_t ttl = 0;
    if (found != m_leases.end()) {
        ttl = found->second.ttl_s;
        found->second.expires_s = now_s() + ttl;
    }
    return {{"result", {{"ID", str_cat(id)}, {"TTL", str_cat(ttl)}}}};
}

std::int64_t key_value_store::revision() {
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

nlohmann::json key_value_store::changes_since(const json& request, std::int64_t since_revision) {
    const std::lock_guard lock(m_mutex);
    json events = json::array();
    const std::string first = from_base64(request.at("key").get<std::string>());
    const std::string end = from_base64(request.value("range_end", ""));
    for (const auto& [key, e] : m_entries) {
        const bool in_range = end.empty() ? key == first : key >= first && key < end;
        if (in_range && e.modified >= since_revision) {
            events.push_back({{"type", "PUT"}, {"kv", to_json(key, e)}});
        }
    }
    return events;
}

} // namespace eelgrassdoor::stand_in
