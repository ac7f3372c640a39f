#include "soak/store_server.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <utility>
#include <variant>

namespace eelgrassdoor::test {

namespace {

using nlohmann::json;

constexpr duration usual_delay = milliseconds(4);
constexpr duration slow_delay = milliseconds(200);
/// Longer than callers wait for an answer.
constexpr duration silence = seconds(3);
constexpr duration lease_check_interval = milliseconds(50);

net::http_response make_response(int status, const json& body = json::object()) {
    net::http_response out;
    out.status = status;
    out.headers.set("Content-Type", "application/json");
    out.body = body.dump();
    return out;
}

json to_json(const store::kv_item& item) {
    return {{"key", item.key},
            {"value", to_base64(item.value)},
            {"revision", item.revision},
            {"createdRev", item.revision},
            {"lease", 0}};
}

json to_json(const std::vector<store::kv_item>& items) {
    json out = json::array();
    for (const store::kv_item& each : items) {
        out.push_back(to_json(each));
    }
    return out;
}

store::kv_transaction to_transaction(const json& body) {
    store::kv_transaction out;
    for (const json& each : body.value("expectedRev", json::array())) {
        out.conditions.push_back({each.at("key"), each.at("revision")});
    }
    for (const json& each : body.value("writes", json::array())) {
        out.writes.push_back({each.at("key"), from_base64(each.at("value").get<std::string>()),
                              each.value("lease", std::uint64_t{0})});
    }
    for (const json& each : body.value("deletes", json::array())) {
        out.deletes.push_back(each);
    }
    return out;
}

net::http_response make_failure(const error& why) {
    return make_response(why.run == run_state::not_run ? 503 : 500);
}

} // namespace

store_server::store_server(net::asio::any_io_executor executor, std::string endpoint)
    : m_executor(executor), m_memory(executor), m_store(m_memory.make_store()),
      m_server(executor,
               net::http_server_options{.endpoint = std::move(endpoint),
                                        .limits =
                                            [] {
                                                net::client_limits limits;
                                                limits.sizes.max_body_bytes = 64UL * 1024 * 1024;
                                                limits.idle_timeout = seconds(60);
                                                return limits;
                                            }},
               [this](net::server_exchange& exchange) { return handle(exchange); }) {}

bool store_server::start() {
    const result<void> started = m_server.start();
    net::asio::co_spawn(m_executor, end_expired_leases(), net::asio::detached);
    return started.has_value();
}

net::task<> store_server::wait(duration time) {
    net::notification timer(m_executor);
    co_await timer.wait_until(steady_clock()() + time);
}

net::task<> store_server::handle(net::server_exchange& exchange) {
    const store_state state = m_state;
    co_await wait(state == store_state::slow ? slow_delay : usual_delay);
    if (state == store_state::silent) {
        co_await wait(silence);
        exchange.abort();
        co_return;
    }
    if (state == store_state::refusing) {
        net::http_response refusal = make_response(503);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    net::http_request request = exchange.request();
    net::http_response response = co_await respond(std::move(request));
    if (m_state == store_state::silent) {
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

net::task<net::http_response> store_server::respond(net::http_request request) {
    std::string_view call = request.path();
    (void)consume_prefix(call, "/eelgrassdoor/");
    if (call == "kv-key") {
        co_return co_await read_key(std::move(request));
    }
    if (call == "kv-range") {
        co_return co_await read_range(std::move(request));
    }
    if (call == "kv-watch") {
        co_return co_await watch(std::move(request));
    }
    if (call == "kv-txn") {
        co_return co_await commit(std::move(request));
    }
    if (call == "kv-lease") {
        co_return co_await grant_lease(std::move(request));
    }
    std::uint64_t lease = 0;
    if (consume_prefix(call, "kv-keep/") && parse_int(call, lease)) {
        co_return co_await renew_lease(lease);
    }
    if (consume_prefix(call, "kv-lease-end/") && parse_int(call, lease)) {
        co_return co_await end_lease(lease);
    }
    co_return make_response(404);
}

net::task<net::http_response> store_server::read_key(net::http_request request) {
    const std::string key = request.query("key").value_or("");
    const auto item = co_await m_store.get(key, store::consistency::linearizable);
    if (!item) {
        co_return make_failure(item.error());
    }
    co_return item.value() ? make_response(200, to_json(*item.value())) : make_response(404);
}

net::task<net::http_response> store_server::read_range(net::http_request request) {
    const std::string prefix = request.query("pathPrefix").value_or("");
    const std::string after = request.query("after").value_or("");
    const auto page = co_await m_store.list(prefix, after, store::consistency::linearizable);
    if (!page) {
        co_return make_failure(page.error());
    }
    co_return make_response(200, {{"items", to_json(page.value().items)},
                                  {"hasMore", page.value().has_more},
                                  {"currentRev", page.value().store_revision}});
}

net::task<net::http_response> store_server::watch(net::http_request request) {
    const std::string prefix = request.query("pathPrefix").value_or("");
    std::uint64_t after = 0;
    std::int64_t wait_ms = 0;
    (void)parse_int(request.query("after").value_or(""), after);
    (void)parse_int(request.query("waitMs").value_or(""), wait_ms);
    const auto outcome = co_await m_store.watch(prefix, after, milliseconds(wait_ms));
    if (!outcome) {
        co_return make_failure(outcome.error());
    }
    const auto* changes = std::get_if<store::kv_changes>(&outcome.value());
    if (changes == nullptr) {
        co_return make_response(410);
    }
    json events = json::array();
    for (const store::kv_event& each : changes->events) {
        json event = to_json(each.item);
        if (each.deleted) {
            event["deleted"] = true;
        }
        events.push_back(std::move(event));
    }
    co_return make_response(200, {{"events", events}, {"currentRev", changes->store_revision}});
}

net::task<net::http_response> store_server::commit(net::http_request request) {
    store::kv_transaction change = to_transaction(json::parse(request.body));
    const auto outcome = co_await m_store.commit(std::move(change));
    if (!outcome) {
        co_return make_failure(outcome.error());
    }
    if (const auto* committed = std::get_if<store::kv_committed>(&outcome.value())) {
        co_return make_response(200, {{"revision", committed->revision}});
    }
    if (const auto* conflict = std::get_if<store::kv_conflict>(&outcome.value())) {
        co_return make_response(412, {{"items", to_json(conflict->current)}});
    }
    co_return make_response(404);
}

net::task<net::http_response> store_server::grant_lease(net::http_request request) {
    const duration ttl = milliseconds(json::parse(request.body).value("ttlMs", 1000));
    const auto granted = co_await m_store.grant_lease(ttl);
    if (!granted) {
        co_return make_failure(granted.error());
    }
    m_leases[granted.value().id] = {ttl, steady_clock()() + ttl};
    co_return make_response(200, {{"lease", granted.value().id}, {"ttlMs", to_ms(ttl)}});
}

net::task<net::http_response> store_server::renew_lease(std::uint64_t lease) {
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        co_return make_response(404);
    }
    found->second.ends_at = steady_clock()() + found->second.ttl;
    co_return make_response(200);
}

net::task<net::http_response> store_server::end_lease(std::uint64_t lease) {
    m_leases.erase(lease);
    (void)co_await m_store.end_lease(lease);
    co_return make_response(200);
}

net::task<> store_server::end_expired_leases() {
    time_point last = steady_clock()();
    for (;;) {
        co_await wait(lease_check_interval);
        const time_point now = steady_clock()();
        std::vector<std::uint64_t> ended;
        for (auto& [id, each] : m_leases) {
            if (m_state != store_state::sound) {
                each.ends_at += now - last;
            } else if (each.ends_at <= now) {
                ended.push_back(id);
            }
        }
        last = now;
        for (const std::uint64_t id : ended) {
            m_leases.erase(id);
            (void)co_await m_store.end_lease(id);
        }
    }
}

} // namespace eelgrassdoor::test
