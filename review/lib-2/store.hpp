/// \file
/// A stand-in of the platform's store, by the pages' description of its calls.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace review {

using nlohmann::json;

/// What becomes of a call and its answer.
struct fate {
    /// The answer is lost, and the connection carries nothing further.
    bool lose_answer = false;
    /// The call is carried out only after this time, if its condition holds then.
    std::int64_t done_after_ms = 0;
};

class store {
public:
    /// Time in which a sound store answers.
    static constexpr std::int64_t answer_ms = 4;

    /// provider.valueBytes.
    static constexpr std::size_t value_bytes = 1048576;

    /// Decides on a transaction; empty for a sound store.
    std::function<fate(const json& transaction)> fate_of_transaction;
    /// Decides whether the answer of a watch that has events to report is lost.
    std::function<bool()> loses_watch_answer;

    bool start(const endpoint& at) {
        std::thread([this] { end_leases(); }).detach();
        return m_server.start(
            at, [this](connection& link, const message& request) { return handle(link, request); });
    }

    /// What the operator or an engine writes.
    void put(const std::string& key, const json& value) {
        const std::lock_guard lock(m_mutex);
        write(key, to_base64(value.dump()), 0);
        m_changed.notify_all();
    }
    /// Number of answers that were due and of those that were lost so far; and of writes.
    std::atomic<int> answers{0};
    std::atomic<int> lost{0};
    std::atomic<int> writes{0};
    std::atomic<int> lost_writes{0};

    static std::string to_base64(std::string_view bytes) {
        static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t k = 0; k < 3; ++k) {
                group = group << 8U |
                        (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            }
            for (std::size_t k = 0; k < 4; ++k) {
                out += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
            }
        }
        return out;
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        item what;
        bool deleted = false;
    };
    struct lease {
        std::int64_t ttl = 0;
        std::int64_t ends_at = 0;
    };

    void write(const std::string& key, std::string value, std::uint64_t lease_id) {
        item& each = m_items[key];
        each.revision = ++m_revision;
        each.created = each.created == 0 ? m_revision : each.created;
        each.value = std::move(value);
        each.lease = lease_id;
        m_events.push_back({key, each, false});
    }
    void remove(const std::string& key) {
        if (m_items.erase(key) > 0) {
            m_events.push_back({key, {.value = {}, .revision = ++m_revision}, true});
        }
    }
    void end_lease(std::uint64_t id) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, each] : m_items) {
            if (each.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove(key);
        }
        m_changed.notify_all();
    }
    void end_leases() {
        for (;;) {
            sleep_ms(20);
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, each] : m_leases) {
                if (each.ends_at <= now_ms()) {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t id : ended) {
                end_lease(id);
            }
        }
    }

    static json describe(const std::string& key, const item& each) {
        return {{"key", key},
                {"value", each.value},
                {"revision", each.revision},
                {"createdRev", each.created},
                {"lease", each.lease}};
    }
    bool answer(connection& link, int status, const json& body) {
        ++answers;
        return link.send(
            make_response(status, body.dump(), {{"Content-Type", "application/json"}}));
    }
    bool lose(connection& link) {
        ++answers;
        ++lost;
        link.hold();
        return false;
    }

    bool handle(connection& link, const message& request) {
        sleep_ms(answer_ms);
        const std::string path = request.path();
        if (path == "/eelgrassdoor/kv-key") {
            const std::lock_guard lock(m_mutex);
            const auto found = m_items.find(request.query("key"));
            if (found == m_items.end()) {
                return answer(link, 404, json::object());
            }
            json out = describe(found->first, found->second);
            out["currentRev"] = m_revision;
            return answer(link, 200, out);
        }
        if (path == "/eelgrassdoor/kv-range") {
            return list(link, request);
        }
        if (path == "/eelgrassdoor/kv-watch") {
            return watch(link, request);
        }
        if (path == "/eelgrassdoor/kv-txn") {
            return commit(link, json::parse(request.body));
        }
        const std::lock_guard lock(m_mutex);
        if (path == "/eelgrassdoor/kv-lease") {
            const std::int64_t ttl = json::parse(request.body).at("ttlMs");
            m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
            return answer(link, 200, {{"lease", m_last_lease}, {"ttlMs", ttl}});
        }
        const std::uint64_t id =
            std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = m_leases.find(id);
        if (found == m_leases.end()) {
            return answer(link, 404, json::object());
        }
        if (path.starts_with("/eelgrassdoor/kv-keep/")) {
            found->second.ends_at = now_ms() + found->second.ttl;
            return answer(link, 200, {{"ttlMs", found->second.ttl}});
        }
        end_lease(id);
        return answer(link, 200, json::object());
    }

    bool list(connection& link, const message& request) {
        const std::lock_guard lock(m_mutex);
        const std::string prefix = request.query("pathPrefix");
        const std::string after = request.query("after");
        json items = json::array();
        bool has_more = false;
        for (auto at = m_items.lower_bound(prefix);
             at != m_items.end() && at->first.starts_with(prefix); ++at) {
            if (!after.empty() && at->first <= after) {
                continue;
            }
            if (items.size() == 500) {
                has_more = true;
                break;
            }
            items.push_back(describe(at->first, at->second));
        }
        return answer(link, 200,
                      {{"items", items}, {"hasMore", has_more}, {"currentRev", m_revision}});
    }

    bool watch(connection& link, const message& request) {
        const std::string prefix = request.query("pathPrefix");
        const std::uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const std::int64_t end = now_ms() + std::atoll(request.query("waitMs").c_str());
        std::unique_lock lock(m_mutex);
        for (;;) {
            json events = json::array();
            for (auto at = m_events.rbegin(); at != m_events.rend() && at->what.revision > after;
                 ++at) {
                if (at->key.starts_with(prefix)) {
                    json each = at->deleted ? json{{"key", at->key},
                                                   {"revision", at->what.revision},
                                                   {"deleted", true}}
                                            : describe(at->key, at->what);
                    events.insert(events.begin(), std::move(each));
                }
            }
            const std::int64_t left = end - now_ms();
            if (!events.empty() || left <= 0 || link.is_closed()) {
                const std::uint64_t revision = m_revision;
                const bool has_events = !events.empty();
                lock.unlock();
                if (has_events && loses_watch_answer && loses_watch_answer()) {
                    return lose(link);
                }
                return answer(link, 200, {{"events", events}, {"currentRev", revision}});
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 500)));
        }
    }

    bool commit(connection& link, const json& change) {
        ++writes;
        const fate its = fate_of_transaction ? fate_of_transaction(change) : fate{};
        if (its.done_after_ms > 0) {
            std::thread([this, change, its] {
                sleep_ms(its.done_after_ms);
                (void)apply(change);
            }).detach();
        }
        if (its.lose_answer) {
            ++lost_writes;
            if (its.done_after_ms == 0) {
                (void)apply(change);
            }
            return lose(link);
        }
        const auto [status, body] = apply(change);
        return answer(link, status, body);
    }

    std::pair<int, json> apply(const json& change) {
        const std::lock_guard lock(m_mutex);
        const json conditions = change.value("expectedRev", json::array());
        bool holds = true;
        json current = json::array();
        for (const json& each : conditions) {
            const std::string key = each.at("key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == each.at("revision").get<std::uint64_t>();
            current.push_back(describe(key, found == m_items.end() ? item{} : found->second));
        }
        if (!holds) {
            return {412, {{"items", current}}};
        }
        const json writes_wanted = change.value("writes", json::array());
        for (const json& each : writes_wanted) {
            const std::uint64_t id = each.value("lease", std::uint64_t{0});
            if (id != 0 && !m_leases.contains(id)) {
                return {404, json::object()};
            }
        }
        for (const json& each : writes_wanted) {
            // At most valueBytes, encoded as base64 text.
            if (each.at("value").get_ref<const std::string&>().size() / 4 * 3 > value_bytes) {
                return {400, json::object()};
            }
        }
        for (const json& each : writes_wanted) {
            write(each.at("key"), each.at("value"), each.value("lease", std::uint64_t{0}));
        }
        for (const json& each : change.value("deletes", json::array())) {
            remove(each);
        }
        m_changed.notify_all();
        return {200, {{"revision", m_revision}}};
    }

    server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_last_lease = 0;
};

} // namespace review
