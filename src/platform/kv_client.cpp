#include "platform/kv_client.hpp"

#include "base/text.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace eelgrassdoor::platform {

namespace {

using nlohmann::json;

/// Reads that determine whether a write with a lost response took effect.
constexpr int max_resolve_attempts = 3;

/// The field as a number; 0 when it is missing. The gateway encodes 64-bit numbers as JSON strings.
std::int64_t int64_field(const json& object, const char* name) {
    std::int64_t value = 0;
    if (object.contains(name)) {
        const json& field = object[name];
        if (field.is_string()) {
            (void)parse_int(field.get<std::string>(), value);
        } else {
            value = field.get<std::int64_t>();
        }
    }
    return value;
}

kv_entry parse_entry(const json& kv) {
    return {from_base64(kv.value("key", "")),
            {from_base64(kv.value("value", "")), int64_field(kv, "mod_revision")}};
}

/// The first key after all keys that start with \p prefix.
std::string prefix_range_end(std::string_view prefix) {
    std::string end(prefix);
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

/// The condition that \p key has revision \p expected; 0 stands for a key that does not exist.
json revision_condition(std::string_view key, std::int64_t expected) {
    return {{"key", to_base64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", str_cat(expected)}};
}

error malformed_response() {
    return {error_code::unavailable, "the key-value service sent a malformed response",
            run_state::unknown};
}

} // namespace

kv_client::kv_client(kv_options options, clock_fn clock, observe::event_recorder& events,
                     observe::metrics& metrics, const peer::drop_list& drops)
    : m_options(std::move(options)), m_endpoint([this] {
          const http::endpoint endpoint = http::endpoint::parse(m_options.url);
          return str_cat(endpoint.address, ":", endpoint.port);
      }()),
      m_events(events), m_metrics(metrics), m_drops(drops),
      m_rate_limiter(m_options.calls_per_second, clock),
      m_pool(m_options.url, m_options.connection, clock) {}

bool kv_client::wait_for_rate_limit() {
    duration waited{};
    while (!m_rate_limiter.try_acquire()) {
        const duration next = m_rate_limiter.time_until_available();
        if (waited + next > m_options.max_rate_limit_wait) {
            m_metrics.count("kv_calls_over_budget_total");
            return false;
        }
        std::this_thread::sleep_for(next);
        waited += next;
    }
    return true;
}

void kv_client::set_reachable(bool now_reachable) {
    if (m_reachable.exchange(now_reachable) != now_reachable) {
        m_events.emit(now_reachable ? observe::event::platform_back : observe::event::platform_lost,
                      {});
    }
}

result<std::string> kv_client::post(std::string_view path, const std::string& body) {
    if (!wait_for_rate_limit()) {
        return error{error_code::unavailable,
                     "the rate limit of calls to the key-value service is exceeded",
                     run_state::not_run, seconds(1)};
    }
    m_metrics.count("kv_calls_total");
    if (m_drops.drops_either_direction(m_endpoint)) {
        set_reachable(false);
        return error{error_code::unavailable,
                     "the connection to the key-value service is blocked by the drop list",
                     run_state::not_run, seconds(1)};
    }
    http::client_pool::lease client = m_pool.acquire();
    const httplib::Result response = client->Post(std::string(path), body, "application/json");
    if (!response) {
        set_reachable(false);
        const bool sent = response.error() != httplib::Error::Connection &&
                          response.error() != httplib::Error::ConnectionTimeout;
        return error{error_code::unavailable, "the key-value service does not respond",
                     sent ? run_state::unknown : run_state::not_run, seconds(1)};
    }
    if (response->status != 200) {
        set_reachable(false);
        return error{error_code::unavailable,
                     str_cat("the key-value service responded with status ", response->status),
                     run_state::unknown, seconds(1)};
    }
    client.return_to_pool();
    set_reachable(true);
    return response->body;
}

result<kv_value> kv_client::get(std::string_view key) {
    BOOST_OUTCOME_TRY(entries, list(key, {}, 1));
    if (entries.empty()) {
        return kv_value{};
    }
    return std::move(entries.front().value);
}

result<std::vector<kv_entry>> kv_client::list(std::string_view prefix, std::string_view from,
                                              int limit) {
    json body{{"key", to_base64(std::max(prefix, from))}, {"limit", str_cat(limit)}};
    const bool single = from.empty() && limit == 1;
    if (!single) {
        body["range_end"] = to_base64(prefix_range_end(prefix));
    }
    result<std::string> text = post("/v3/kv/range", body.dump());
    if (!text && text.error().run == run_state::unknown) {
        // A pooled connection may be dead. A read is safe to repeat.
        text = post("/v3/kv/range", body.dump());
    }
    if (!text) {
        return text.error();
    }
    std::vector<kv_entry> out;
    try {
        const json response = json::parse(text.value());
        for (const json& kv : response.value("kvs", json::array())) {
            out.push_back(parse_entry(kv));
        }
    } catch (const json::exception&) {
        return malformed_response();
    }
    return out;
}

result<swap_outcome> kv_client::transact(const std::string& body) {
    BOOST_OUTCOME_TRY(text, post("/v3/kv/txn", body));
    try {
        return json::parse(text).value("succeeded", false) ? swap_outcome::written
                                                           : swap_outcome::conflict;
    } catch (const json::exception&) {
        return malformed_response();
    }
}

result<swap_outcome>
kv_client::compare_and_swap(std::string_view key, std::int64_t expected, std::string_view value,
                            const std::function<bool(std::string_view)>& is_own_write) {
    const json body{
        {"compare", json::array({revision_condition(key, expected)})},
        {"success",
         json::array({{{"request_put", {{"key", to_base64(key)}, {"value", to_base64(value)}}}}})}};
    result<swap_outcome> outcome = transact(body.dump());
    bool may_have_written = false;
    for (int i = 0; i < max_resolve_attempts; ++i) {
        if (outcome && outcome.value() == swap_outcome::written) {
            return outcome;
        }
        if (outcome && !may_have_written) {
            return outcome;
        }
        if (!outcome && outcome.error().run == run_state::not_run && !may_have_written) {
            return outcome;
        }
        may_have_written = true;
        const result<kv_value> found = get(key);
        if (!found) {
            continue;
        }
        if (is_own_write(found.value().value)) {
            return swap_outcome::written;
        }
        if (found.value().revision != expected) {
            return swap_outcome::conflict;
        }
        // Not written yet, but an earlier request may still arrive. All of them have the same
        // condition, so that at most one takes effect.
        outcome = transact(body.dump());
    }
    if (outcome && outcome.value() == swap_outcome::written) {
        return outcome;
    }
    return error{error_code::outcome_unknown,
                 str_cat("cannot determine whether the write of \"", key, "\" took effect"),
                 run_state::unknown, seconds(1)};
}

result<swap_outcome> kv_client::remove(std::string_view key, std::int64_t expected) {
    const json body{
        {"compare", json::array({revision_condition(key, expected)})},
        {"success", json::array({{{"request_delete_range", {{"key", to_base64(key)}}}}})}};
    return transact(body.dump());
}

} // namespace eelgrassdoor::platform
