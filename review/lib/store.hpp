/// \file
/// Defines a stand-in of the platform's metadata store that follows PROTOCOL.md.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>

namespace review {

inline std::string to_base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U |
                    (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

inline std::string from_base64(const std::string& text) {
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        static const std::string digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

/// \p text with \p to in place of each \p from.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

inline std::string percent_decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// A linearizable key-value store with leases and watches. Values are kept as base64 text.
class platform_store {
public:
    using json = nlohmann::json;

    /// A call to the store, as hooks see it.
    struct call {
        /// Name of the caller, as given to listen().
        std::string caller;
        std::string path;
        json body;
    };

    platform_store() {
        std::thread([this] { expire_loop(); }).detach();
    }

    /// Opens a port for one caller, so that calls can be told apart.
    endpoint listen(const std::string& caller) {
        m_servers.push_back(std::make_unique<tcp_server>(
            endpoint{}, [this, caller](connection_ptr peer) { serve(peer, caller); }));
        return m_servers.back()->own();
    }

    /// Writes as the operator or an engine does.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(m_mutex);
        write(key, to_base64(value), 0, ++m_revision);
        m_changed.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock(m_mutex);
        erase(key, ++m_revision);
        m_changed.notify_all();
    }
    /// Copies every key that holds \p id, with its value, \p count times, each time with another
    /// id of the same length in place of \p id. The copies have no history, as if they were old.
    void copy_records(const std::string& id, std::size_t count) {
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<std::string, std::string>> records;
        for (const auto& [key, entry] : m_items) {
            if (key.find(id) != std::string::npos) {
                records.emplace_back(key, from_base64(entry.value));
            }
        }
        for (const auto& [key, value] : records) {
            // The copies are made in the order of their keys, which is quick.
            auto last = m_items.lower_bound(key.substr(0, key.find(id)));
            for (std::size_t i = 0; i < count; ++i) {
                char other[32];
                std::snprintf(other, sizeof other, "%016llx",
                              static_cast<unsigned long long>(UINT64_MAX / (count + 1) * (i + 1)));
                ++m_revision;
                last = m_items.insert_or_assign(
                    last, replaced(key, id, other),
                    item{to_base64(replaced(value, id, other)), m_revision, m_revision, 0});
                ++last;
            }
        }
        m_history.clear();
    }
    bool has(const std::string& key) {
        const std::lock_guard lock(m_mutex);
        return m_items.contains(key);
    }

    /// Milliseconds from the arrival of a call until it is executed, and from then to its answer;
    /// called for each call that is not a watch.
    std::function<std::pair<int, int>(const call&)> delays = [](const call&) {
        return std::pair(2, 2);
    };
    /// Called after a transaction has been executed.
    std::function<void(const call&, bool committed)> on_commit = [](const call&, bool) {};

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        std::int64_t ttl = 0;
        std::int64_t expires = 0;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t held_by,
               std::uint64_t revision) {
        item& entry = m_items[key];
        entry.created = entry.created == 0 ? revision : entry.created;
        entry.value = value;
        entry.revision = revision;
        entry.lease = held_by;
        m_history.push_back({revision, key, describe(key, entry)});
    }
    void erase(const std::string& key, std::uint64_t revision) {
        if (m_items.erase(key) > 0) {
            m_history.push_back(
                {revision, key, {{"key", key}, {"revision", revision}, {"deleted", true}}});
        }
    }
    static json describe(const std::string& key, const item& entry) {
        return {{"key", key},
                {"value", entry.value},
                {"revision", entry.revision},
                {"createdRev", entry.created},
                {"lease", entry.lease}};
    }

    void end_lease(std::uint64_t id) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_items) {
            if (entry.lease == id) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++m_revision;
        }
        for (const std::string& key : keys) {
            erase(key, m_revision);
        }
        m_changed.notify_all();
    }

    void expire_loop() {
        for (;;) {
            sleep_ms(20);
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, each] : m_leases) {
                if (each.expires <= now_ms()) {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t id : ended) {
                end_lease(id);
            }
        }
    }

    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> out;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, next - at - 1);
            const std::size_t equals = part.find('=');
            out[part.substr(0, equals)] = percent_decode(part.substr(equals + 1));
            at = next;
        }
        return out;
    }

    /// Status and body of an answer.
    using reply = std::pair<int, std::string>;

    void serve(connection_ptr peer, const std::string& caller) {
        for (;;) {
            std::optional<message> request = read_head(*peer, now_ms() + 120'000);
            if (!request) {
                return;
            }
            read_body(*peer, *request, now_ms() + 5'000);
            if (!request->complete) {
                return;
            }
            const std::string path = request->target.substr(0, request->target.find('?'));
            call made{caller, path, nullptr};
            if (!request->body.empty()) {
                made.body = json::parse(request->body, nullptr, false);
            }
            reply answer;
            if (path == "/eelgrassdoor/kv-watch") {
                answer = watch(query_of(request->target));
            } else {
                const auto [before, after] = delays(made);
                sleep_ms(before);
                answer = execute(made, *request, path);
                sleep_ms(after);
            }
            if (!peer->write(encode_response(answer.first, answer.second,
                                             {{"Content-Type", "application/json"}}),
                             now_ms() + 5'000)) {
                return;
            }
        }
    }

    reply execute(const call& made, const message& request, const std::string& path) {
        const auto query = query_of(request.target);
        const auto value = [&](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        bool committed = false;
        reply out{404, "{}"};
        {
            const std::lock_guard lock(m_mutex);
            if (path == "/eelgrassdoor/kv-key") {
                const auto found = m_items.find(value("key"));
                if (found != m_items.end()) {
                    json item = describe(found->first, found->second);
                    item["currentRev"] = m_revision;
                    out = {200, item.dump()};
                }
            } else if (path == "/eelgrassdoor/kv-range") {
                out = {200, range(value("pathPrefix"), value("after"))};
            } else if (path == "/eelgrassdoor/kv-txn") {
                out = transact(made.body);
                committed = out.first == 200;
            } else if (path == "/eelgrassdoor/kv-lease") {
                const std::int64_t ttl = made.body.value("ttlMs", 3000);
                m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
                out = {200, json{{"lease", m_last_lease}, {"ttlMs", ttl}}.dump()};
            } else {
                out = lease_call(path);
            }
        }
        if (path == "/eelgrassdoor/kv-txn") {
            on_commit(made, committed);
        }
        return out;
    }

    reply lease_call(const std::string& path) {
        const std::uint64_t id = std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        const auto found = m_leases.find(id);
        if (found == m_leases.end()) {
            return {404, "{}"};
        }
        if (path.rfind("/eelgrassdoor/kv-lease-end/", 0) == 0) {
            end_lease(id);
            return {200, "{}"};
        }
        found->second.expires = now_ms() + found->second.ttl;
        return {200, json{{"ttlMs", found->second.ttl}}.dump()};
    }

    /// The body of a page of items. It is written by hand, since keys and values hold only
    /// characters that JSON does not escape, and a page may have 500 of them.
    std::string range(const std::string& prefix, const std::string& after) const {
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (auto it = m_items.lower_bound(std::max(prefix, after));
             it != m_items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (it->first <= after && !after.empty()) {
                continue;
            }
            if (count >= 500 || items.size() > 1'000'000) {
                more = true;
                break;
            }
            const item& entry = it->second;
            items += std::string(count == 0 ? "" : ",") + "{\"key\":\"" + it->first +
                     "\",\"value\":\"" + entry.value +
                     "\",\"revision\":" + std::to_string(entry.revision) +
                     ",\"createdRev\":" + std::to_string(entry.created) +
                     ",\"lease\":" + std::to_string(entry.lease) + "}";
            ++count;
        }
        return "{\"items\":[" + items + "],\"hasMore\":" + (more ? "true" : "false") +
               ",\"currentRev\":" + std::to_string(m_revision) + "}";
    }

    reply transact(const json& body) {
        json current = json::array();
        bool holds = true;
        for (const json& each : body.at("expectedRev")) {
            const std::string key = each.at("key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == each.at("revision").get<std::uint64_t>();
            current.push_back(found == m_items.end() ? json{{"key", key}, {"revision", 0}}
                                                     : describe(key, found->second));
        }
        if (!holds) {
            return {412, json{{"items", current}}.dump()};
        }
        for (const json& each : body.at("writes")) {
            const std::uint64_t held_by = each.value("lease", std::uint64_t{0});
            if (held_by != 0 && !m_leases.contains(held_by)) {
                return {404, "{}"};
            }
        }
        ++m_revision;
        for (const json& each : body.at("writes")) {
            write(each.at("key"), each.at("value"), each.value("lease", std::uint64_t{0}),
                  m_revision);
        }
        for (const json& each : body.at("deletes")) {
            erase(each, m_revision);
        }
        m_changed.notify_all();
        return {200, json{{"revision", m_revision}}.dump()};
    }

    reply watch(const std::map<std::string, std::string>& query) {
        const std::string prefix = query.at("pathPrefix");
        const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
        const std::int64_t end = now_ms() + std::atoll(query.at("waitMs").c_str());
        std::unique_lock lock(m_mutex);
        for (;;) {
            json events = json::array();
            for (auto it = m_history.rbegin(); it != m_history.rend() && it->revision > after;
                 ++it) {
                if (it->key.rfind(prefix, 0) == 0) {
                    events.insert(events.begin(), it->event);
                }
            }
            if (!events.empty() || now_ms() >= end) {
                return {200, json{{"events", events}, {"currentRev", m_revision}}.dump()};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(
                                         1, std::min<std::int64_t>(end - now_ms(), 200))));
        }
    }

    struct change {
        std::uint64_t revision = 0;
        std::string key;
        json event;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::deque<change> m_history;
    std::uint64_t m_revision = 100;
    std::uint64_t m_last_lease = 1000;
    std::vector<std::unique_ptr<tcp_server>> m_servers;
};

} // namespace review
