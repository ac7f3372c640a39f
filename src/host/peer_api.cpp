#include "host/peer_api.hpp"

#include "store/snapshot_codec.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace eelgrassdoor::host {

namespace {

/// Bytes of snapshots that are sent at the same time: on a link of 30 Mbit/s a tenth of a second.
constexpr std::size_t max_transfer_bytes = 384 * 1024;

} // namespace

peer_api::peer_api(serving::service_context& context, store::mirror& mirrors,
                   jobs::job_runner* runner, entry::job_frontend& job_frontend,
                   serving::target_relay& relay)
    : m_mirror(mirrors), m_runner(runner), m_job_frontend(job_frontend), m_relay(relay),
      m_puller(context, mirrors), m_snapshots(mirrors), m_transfers(max_transfer_bytes) {}

net::task<> peer_api::handle(net::server_exchange& exchange) {
    const std::string_view path = exchange.request().path();
    if (serving::is_relay_call(exchange.request())) {
        co_await m_relay.handle(exchange);
    } else if (path == mirror_path) {
        co_await handle_mirror(exchange);
    } else if (path == jobs::job_call_path && m_runner != nullptr) {
        co_await handle_job_call(exchange, false);
    } else if (path == jobs::forwarded_call_path) {
        co_await handle_job_call(exchange, true);
    } else {
        net::http_response response;
        response.status = 404;
        co_await exchange.respond(std::move(response));
    }
}

net::task<> peer_api::handle_mirror(net::server_exchange& exchange) {
    const net::http_request& request = exchange.request();
    const std::string prefix = request.query("prefix").value_or("");
    std::uint64_t wanted = 0;
    const bool names_revision = absl::SimpleAtoi(request.query("revision").value_or(""), &wanted);
    net::http_response response;
    response.status = 200;
    if (request.headers.get("Accept-Encoding") == compressed_encoding) {
        response.body = m_snapshots.compressed(prefix);
        response.headers.set("Content-Encoding", compressed_encoding);
    } else {
        response.body = store::encode_snapshot(m_mirror.snapshot(prefix));
    }
    // Daemons of older builds name no revision. They take no refusal as a notice to ask others.
    if (names_revision && m_mirror.content_revision(prefix) < wanted) {
        response = {.status = 404};
    } else if (names_revision && !m_transfers.allows(response.body.size())) {
        response = {.status = 503};
    }
    const std::size_t bytes = response.body.size();
    m_transfers.begin(bytes);
    co_await exchange.respond(std::move(response));
    m_transfers.end(bytes);
}

net::task<std::string> peer_api::execute_job_call(net::server_exchange& exchange,
                                                  jobs::job_call call, bool forward) {
    if (forward) {
        const jobs::job_reply reply = co_await m_job_frontend.execute(
            std::move(call), entry::call_origin::forwarded, exchange);
        co_return jobs::encode(reply);
    }
    const auto reserve = [&](std::size_t bytes) { return exchange.reserve_response(bytes); };
    const jobs::job_reply reply = co_await m_runner->handle(std::move(call), reserve);
    co_return jobs::encode(reply);
}

net::task<> peer_api::handle_job_call(net::server_exchange& exchange, bool forward) {
    std::optional<jobs::job_call> call = jobs::decode_call(exchange.request().body);
    net::http_response response;
    response.status = call ? 200 : 400;
    if (call) {
        exchange.request().body.clear();
        const std::size_t max_bytes = call->max_page_bytes;
        call->max_page_bytes =
            exchange.plan_response(std::min(max_bytes, jobs::min_page_bytes), max_bytes);
        response.body = co_await execute_job_call(exchange, std::move(*call), forward);
    }
    co_await exchange.respond(std::move(response));
}

} // namespace eelgrassdoor::host
