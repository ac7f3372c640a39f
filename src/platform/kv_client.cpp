#include "platform/kv_client.hpp"

#include "base/text.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace eelgrassdoor::platform {

namespace {

using nlohmann::json;

constexpr int settle_attempts = 3;

/// The gateway writes 64-bit numbers as JSON strings.
std::int64_t number(const json& object, const char* name) {
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

kv_entry entry_of(const json& kv) {
    return {from_base64(kv.value("key", "")),
            {from_base64(kv.value("value", "")), number(kv, "mod_revision")}};
}

/// The first key after all keys that start with \p prefix.
std::string range_end_of(std::string_view prefix) {
    std::string end(prefix);
    end.back() = static_cast<char>(end.back() + 1);
    return end;
}

json compare_revision(std::string_view key, std::int64_t expected) {
    return {{"key", to_base64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", str_cat(expected)}};
}

error unreadable_answer() {
    return {error_code::unavailable, "the key-value service gave an unreadable answer",
            run_state::unknown};
}

} // namespace

kv_client::kv_client(kv_options options, clock_fn clock, observe::event_recorder& events,
                     observe::metrics& numbers, const peer::drop_list& drops)
    : m_options(std::move(options)), m_endpoint([this] {
          const http::endpoint where = http::endpoint::parse(m_options.url);
          return str_cat(where.address, ":", where.port);
      }()),
      m_events(events), m_numbers(numbers), m_drops(drops),
      m_budget(m_options.calls_per_second, clock),
      m_pool(m_options.url, m_options.connection, clock) {}

bool kv_client::wait_for_budget() {
    duration waited{};
    while (!m_budget.try_take()) {
        const duration next = m_budget.until_next();
        if (waited + next > m_options.budget_wait) {
            m_numbers.count("kv_calls_over_budget_total");
            return false;
        }
        std::this_thread::sleep_for(next);
        waited += next;
    }
    return true;
}

void kv_client::note_reachable(bool now_reachable) {
    if (m_reachable.exchange(now_reachable) != now_reachable) {
        m_events.emit(now_reachable ? observe::event::platform_back : observe::event::platform_lost,
                      {});
    }
}

result<std::string> kv_client::post(std::string_view path, const std::string& body) {
    if (!wait_for_budget()) {
        return error{error_code::unavailable,
                     "the budget of calls to the key-value service is used up", run_state::not_run,
                     seconds(1)};
    }
    m_numbers.count("kv_calls_total");
    if (m_drops.blocks(m_endpoint)) {
        note_reachable(false);
        return error{error_code::unavailable, "the key-value service is cut off",
                     run_state::not_run, seconds(1)};
    }
    http::client_pool::lease client = m_pool.take();
    const httplib::Result answer = client->Post(std::string(path), body, "application/json");
    if (!answer) {
        note_reachable(false);
        const bool sent = answer.error() != httplib::Error::Connection &&
                          answer.error() != httplib::Error::ConnectionTimeout;
        return error{error_code::unavailable, "the key-value service does not answer",
                     sent ? run_state::unknown : run_state::not_run, seconds(1)};
    }
    if (answer->status != 200) {
        note_reachable(false);
        return error{error_code::unavailable,
                     str_cat("the key-value service answered with status ", answer->status),
                     run_state::unknown, seconds(1)};
    }
    client.keep();
    note_reachable(true);
    return answer->body;
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
        body["range_end"] = to_base64(range_end_of(prefix));
    }
    result<std::string> text = post("/v3/kv/range", body.dump());
    if (!text && text.error().run == run_state::unknown) {
        // A pooled connection may have gone silent; a read may always be repeated.
        text = post("/v3/kv/range", body.dump());
    }
    if (!text) {
        return text.error();
    }
    std::vector<kv_entry> out;
    try {
        const json answer = json::parse(text.value());
        for (const json& kv : answer.value("kvs", json::array())) {
            out.push_back(entry_of(kv));
        }
    } catch (const json::exception&) {
        return unreadable_answer();
    }
    return out;
}

result<swap_outcome> kv_client::transact(const std::string& body) {
    BOOST_OUTCOME_TRY(text, post("/v3/kv/txn", body));
    try {
        return json::parse(text).value("succeeded", false) ? swap_outcome::written
                                                           : swap_outcome::lost_race;
    } catch (const json::exception&) {
        return unreadable_answer();
    }
}

result<swap_outcome> kv_client::swap(std::string_view key, std::int64_t expected,
                                     std::string_view value,
                                     const std::function<bool(std::string_view)>& is_ours) {
    const json body{
        {"compare", json::array({compare_revision(key, expected)})},
        {"success",
         json::array({{{"request_put", {{"key", to_base64(key)}, {"value", to_base64(value)}}}}})}};
    result<swap_outcome> outcome = transact(body.dump());
    bool may_have_written = false;
    for (int i = 0; i < settle_attempts; ++i) {
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
        if (is_ours(found.value().value)) {
            return swap_outcome::written;
        }
        if (found.value().revision != expected) {
            return swap_outcome::lost_race;
        }
        // Not written yet, but the first request may still arrive: the same swap again makes
        // sure that at most one of them takes effect.
        outcome = transact(body.dump());
    }
    if (outcome && outcome.value() == swap_outcome::written) {
        return outcome;
    }
    return error{error_code::outcome_unknown,
                 str_cat("it is unknown whether the write of \"", key, "\" took effect"),
                 run_state::unknown, seconds(1)};
}

result<swap_outcome> kv_client::remove(std::string_view key, std::int64_t expected) {
    const json body{
        {"compare", json::array({compare_revision(key, expected)})},
        {"success", json::array({{{"request_delete_range", {{"key", to_base64(key)}}}}})}};
    return transact(body.dump());
}

} // namespace eelgrassdoor::platform
