#include "host/peer_api.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"
#include "store/snapshot_codec.hpp"

namespace eelgrassdoor::host {

namespace {

constexpr std::string_view mirror_path = "/mirror";
/// Delay within a zone, so that successive changes are fetched together.
constexpr duration same_zone_pull_delay = milliseconds(15);
/// Delay across zones: by then the change has usually arrived from a daemon of the same zone or
/// from the key-value service.
constexpr duration other_zone_pull_delay = milliseconds(250);
constexpr duration pull_timeout = milliseconds(1000);

} // namespace

net::task<> peer_api::handle(net::server_exchange& exchange) {
    const std::string_view path = exchange.request().path();
    if (path == mirror_path) {
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
    const std::string prefix = exchange.request().query("prefix").value_or("");
    net::http_response response;
    response.status = 200;
    response.body = store::encode_snapshot(m_mirror.snapshot(prefix));
    co_await exchange.respond(std::move(response));
}

net::task<> peer_api::handle_job_call(net::server_exchange& exchange, bool forward) {
    std::optional<jobs::job_call> call = jobs::decode_call(exchange.request().body);
    net::http_response response;
    response.status = call ? 200 : 400;
    if (call) {
        exchange.request().body.clear();
        jobs::job_reply reply;
        if (forward) {
            reply =
                co_await m_job_frontend.execute(std::move(*call), entry::call_origin::forwarded);
        } else {
            reply = co_await m_runner->handle(std::move(*call));
        }
        response.body = jobs::encode(reply);
    }
    co_await exchange.respond(std::move(response));
}

void peer_api::pull(const fleet::newer_revision& newer) {
    if (m_pulling.insert(newer.prefix).second) {
        net::asio::co_spawn(m_context.executor, run_pull(newer), net::asio::detached);
    }
}

net::task<> peer_api::run_pull(fleet::newer_revision newer) {
    if (m_mirror.revision(newer.prefix) != 0) {
        const duration delay = newer.same_zone ? same_zone_pull_delay : other_zone_pull_delay;
        co_await net::sleep_for(delay);
    }
    if (m_mirror.revision(newer.prefix) < newer.revision) {
        net::http_request request;
        request.method = "GET";
        request.target = str_cat(mirror_path, "?prefix=", newer.prefix);
        const time_point started = m_context.clock();
        const result<net::http_response> response =
            co_await m_client.call(newer.endpoint, std::move(request), started + pull_timeout);
        if (response) {
            apply_response(newer, response.value().body, started);
        } else {
            log_pull_failure(newer, response.error().message, started);
        }
    }
    m_pulling.erase(newer.prefix);
}

void peer_api::apply_response(const fleet::newer_revision& newer, std::string_view body,
                              time_point started) {
    const std::string elapsed = elapsed_ms(started);
    const auto snapshot = store::decode_snapshot(body);
    if (!snapshot) {
        log_pull_failure(newer, "the snapshot cannot be decoded", started);
        return;
    }
    m_mirror.apply_snapshot(*snapshot);
    m_context.log.write(observe::event::mirror_pulled, newer.prefix,
                        {{"from", newer.endpoint},
                         {"revision", std::to_string(snapshot->revision)},
                         {"bytes", std::to_string(body.size())},
                         {"elapsed_ms", elapsed}});
}

void peer_api::log_pull_failure(const fleet::newer_revision& newer, std::string_view reason,
                                time_point started) {
    m_context.metrics.count("mirror_pull_failed");
    m_context.log.write(observe::event::mirror_pull_failed, newer.prefix,
                        {{"from", newer.endpoint},
                         {"revision", std::to_string(newer.revision)},
                         {"reason", std::string(reason)},
                         {"elapsed_ms", elapsed_ms(started)}});
}

std::string peer_api::elapsed_ms(time_point started) const {
    return std::to_string(to_ms(m_context.clock() - started));
}

} // namespace eelgrassdoor::host
