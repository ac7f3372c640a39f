#include "serving/target_relay.hpp"

#include "base/digest.hpp"
#include "net/http_exchange.hpp"
#include "serving/response_end.hpp"
#include "serving/target_connection.hpp"

#include <absl/cleanup/cleanup.h>

#include <utility>

namespace eelgrassdoor::serving {

namespace {

/// Relayed requests hold a connection to a daemon and one to a target, and peers have other calls.
constexpr std::size_t max_relayed_requests = 96;
/// Timeout for connecting to a process and for its report. The request states the time that is left
/// to the target as it was when the request was ordered.
constexpr duration relay_connect_timeout = milliseconds(300);

} // namespace

relay_refusal target_relay::refusal_after(const relay_order& order, const error& failure) const {
    if (m_context.loads.is_leaving({stable_hash(order.process.target), order.process.started_at})) {
        return relay_refusal::target_leaving;
    }
    if (m_context.reachability.is_partitioned()) {
        return relay_refusal::partitioned;
    }
    if (failure.code == error_code::overloaded) {
        return relay_refusal::target_silent;
    }
    return is_other_process(failure) ? relay_refusal::other_process : relay_refusal::unreachable;
}

std::optional<relay_refusal> target_relay::refusal_for(const relay_order& order) {
    if (!m_accepts_requests()) {
        return relay_refusal::stopping;
    }
    if (m_context.loads.is_leaving({stable_hash(order.process.target), order.process.started_at})) {
        return relay_refusal::target_leaving;
    }
    if (m_active >= max_relayed_requests) {
        return relay_refusal::busy;
    }
    if (m_context.reachability.is_partitioned()) {
        return relay_refusal::partitioned;
    }
    return std::nullopt;
}

bool target_relay::is_quarantined(const relay_order& order,
                                  const net::http_request& request) const {
    quarantine_gate gate{.kind = order.gate,
                         .suspects = suspects_of(m_context.codec.decode_prompt(request.headers))};
    gate.suspects.request = order.fingerprint;
    return quarantine_error(m_context, gate).has_value();
}

net::task<> target_relay::handle(net::server_exchange& exchange) {
    std::optional<relay_order> order = take_relay_order(exchange.request());
    if (!order) {
        net::http_response malformed;
        malformed.status = 400;
        co_await exchange.respond(std::move(malformed));
        co_return;
    }
    if (const std::optional<relay_refusal> reason = refusal_for(*order)) {
        net::http_response refusal = make_refusal(*reason);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    ++m_active;
    const absl::Cleanup end = [this] { --m_active; };
    co_await relay(exchange, std::move(*order));
}

net::task<> target_relay::relay(net::server_exchange& exchange, relay_order order) {
    // The daemon that ordered the request ends it by closing the connection, at its deadline too.
    const auto connection = std::make_shared<std::shared_ptr<net::tcp_connection>>();
    exchange.on_client_disconnect([connection] {
        if (*connection) {
            (*connection)->close();
        }
    });
    const on_open_fn on_open = [&](const std::shared_ptr<net::tcp_connection>& opened) {
        *connection = opened;
        if (exchange.client_disconnected()) {
            opened->close();
        }
    };
    const time_point connect_by = m_context.clock() + relay_connect_timeout;
    const auto connected =
        co_await connect_to_process(m_context, order.process, order.check, connect_by, on_open);
    if (exchange.client_disconnected()) {
        if (connected) {
            connected.value().connection->close();
        }
        co_return;
    }
    if (!connected) {
        net::http_response refusal = make_refusal(refusal_after(order, connected.error()));
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (is_quarantined(order, exchange.request())) {
        (*connection)->close();
        net::http_response refusal = make_refusal(relay_refusal::quarantined);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    (*connection)->set_deadline(time_point::max());
    // The request is framed anew.
    exchange.request().headers.remove("Content-Length");
    exchange.request().headers.remove("Connection");
    m_context.metrics.count("requests_relayed_total");
    net::http_exchange call(*connection, target_response_limits, &m_context.response_memory);
    call.send(exchange.request());
    exchange.request().body.clear();
    const routing::target_instance instance{stable_hash(order.process.target),
                                            order.process.started_at};
    const auto on_head = [&](const target_response& response) {
        if (response.target_is_leaving) {
            mark_leaving(m_context, order.process.target, instance);
        }
    };
    const result<target_response> response =
        co_await read_matching_head(m_context.codec, call, order.request, on_head);
    if (!response) {
        if (!exchange.client_disconnected()) {
            record_cut_off(m_context, order.process.target, **connection);
            record_no_response(m_context, order.process.target, response.error().message);
        }
        exchange.abort();
        co_return;
    }
    record_response(m_context, order.process.target);
    net::http_response head = net::make_forwarded_head(call.response());
    remove_relay_headers(head);
    const std::optional<std::uint64_t> process_start = connected.value().started_at;
    if (process_start) {
        add_process_start(head, *process_start);
    }
    const bool framed = call.response().framed;
    target_process process = order.process;
    process.started_at = process_start.value_or(process.started_at);
    response_end end(m_context, std::move(process), *connection);
    if (!framed) {
        end.watch();
    }
    bool is_open = co_await exchange.begin(std::move(head));
    bool is_empty = true;
    while (is_open) {
        const result<bool> more = co_await call.read_body();
        std::string bytes = std::exchange(call.response().body, {});
        is_empty = is_empty && bytes.empty();
        if (!framed && !bytes.empty()) {
            end.watch();
        }
        if (!bytes.empty()) {
            is_open = co_await exchange.write(std::move(bytes));
        }
        // A close right after the head does not tell an empty response from one that broke off.
        const bool broke_off = !more || (!more.value() && is_empty && !framed);
        if (!more) {
            record_cut_off(m_context, order.process.target, **connection);
        }
        if (broke_off) {
            exchange.abort();
            co_return;
        }
        if (!more.value()) {
            break;
        }
    }
    if (is_open && !framed) {
        const std::function<bool()> is_cancelled = [&] { return exchange.client_disconnected(); };
        const result<void> confirmed = co_await end.confirm(time_point::max(), is_cancelled);
        if (!confirmed) {
            exchange.abort();
            co_return;
        }
    }
    if (is_open) {
        co_await exchange.finish();
    }
    (*connection)->close();
}

} // namespace eelgrassdoor::serving
