#include "stand_in/scripted_engine.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <cstdint>
#include <cstdio>
#include <limits>
#include <unistd.h>

namespace eelgrassdoor::test {

namespace {

/// Delay between the events of a slow or endless stream.
constexpr duration slow_event_interval = milliseconds(100);
constexpr std::uint64_t slow_events = 12;
constexpr std::uint64_t brief_events = 2;
/// Far below the time that daemons wait for a report.
constexpr duration hold_poll_interval = milliseconds(5);

} // namespace

scripted_engine::scripted_engine(net::asio::any_io_executor executor, std::string endpoint)
    : m_executor(std::move(executor)), m_endpoint(std::move(endpoint)) {
    listen();
}

void scripted_engine::listen() {
    m_servers.push_back(std::make_unique<net::http_server>(
        m_executor, net::http_server_options{.endpoint = m_endpoint},
        [this](net::server_exchange& exchange) { return handle(exchange); }));
    const result<void> started = m_servers.back()->start();
    if (!started) {
        std::fprintf(stderr, "%s\n", started.error().message.c_str());
    }
}

bool scripted_engine::is_fatal(const net::http_request& request) const {
    if (!m_fatal_body.empty() && request.body == m_fatal_body) {
        return true;
    }
    const std::string prompt = str_cat(",", request.headers.get("Prompt-Prefix"));
    return !m_fatal_segment.empty() &&
           prompt.find(str_cat(",", m_fatal_segment, ":")) != std::string::npos;
}

net::task<> scripted_engine::crash() {
    ++m_crashes;
    m_servers.back()->stop();
    net::notification delay(m_executor);
    co_await delay.wait_until(steady_clock()() + m_restart_delay);
    listen();
}

net::http_response scripted_engine::make_head(int status, const net::http_request& request) const {
    net::http_response out;
    out.status = status;
    out.headers.set("Attempt-Id", request.headers.get("Attempt-Id"));
    out.headers.set("Server-Seal", "seal-" + m_endpoint);
    if (m_leaving) {
        out.headers.set("Server-Leaving", "1");
    }
    if (m_request_limit) {
        out.headers.set("Server-Limit", *m_request_limit);
    }
    return out;
}

net::task<> scripted_engine::handle(net::server_exchange& exchange) {
    if (exchange.request().target == "/eelgrassdoor/report") {
        ++m_held_reports;
        while (m_holds_report()) {
            co_await wait(hold_poll_interval);
        }
        --m_held_reports;
        net::http_response report;
        report.status = m_has_report ? 200 : 404;
        if (m_has_report) {
            report.headers.set("Content-Type", "application/json");
            report.body = str_cat(R"({"stage":"both","seq":0,"born":)", m_started_at, "}");
        }
        co_await exchange.respond(std::move(report));
        co_return;
    }
    m_on_request(exchange.request());
    m_received.push_back(exchange.request());
    m_received_at.push_back(steady_clock()());
    if (is_fatal(exchange.request())) {
        net::asio::co_spawn(m_executor, crash(), net::asio::detached);
        exchange.abort();
        co_return;
    }
    engine_action action = m_default_action(exchange.request());
    if (!m_script.empty()) {
        action = m_script.front();
        m_script.pop_front();
    }
    ++m_running;
    const std::map<engine_action, int> status_by_action = {{engine_action::refuse, 503},
                                                           {engine_action::fail, 500},
                                                           {engine_action::unprocessable, 422}};
    const auto status = status_by_action.find(action);
    if (status != status_by_action.end()) {
        net::http_response out = make_head(status->second, exchange.request());
        if (action == engine_action::refuse) {
            out.headers.set("Not-Executed", "1");
        }
        co_await exchange.respond(std::move(out));
    } else if (action == engine_action::hang) {
        co_await hang(exchange);
    } else if (action == engine_action::close_late) {
        co_await wait(m_pause);
        exchange.abort();
    } else {
        if (action == engine_action::respond_with_wrong_id_first) {
            net::http_response other = make_head(200, exchange.request());
            other.headers.set("Attempt-Id", "another-request");
            other.body = "response to another request";
            const std::string bytes = net::serialize(other);
            co_await exchange.connection()->write(bytes);
        }
        if (action == engine_action::repeat_refusal_first) {
            net::http_response other = make_head(503, exchange.request());
            other.headers.set("Attempt-Id", "another-request");
            other.headers.set("Not-Executed", "1");
            const std::string bytes = net::serialize(other);
            co_await exchange.connection()->write(bytes);
        }
        if (action == engine_action::delay) {
            co_await wait(m_pause);
        }
        co_await serve(exchange, action);
    }
    --m_running;
}

net::task<> scripted_engine::hang(net::server_exchange& exchange) {
    const auto disconnected = std::make_shared<net::notification>(m_executor);
    exchange.on_client_disconnect([disconnected] { disconnected->notify(); });
    co_await disconnected->wait_until(steady_clock()() + seconds(30));
    ++m_disconnects;
    exchange.abort();
}

net::task<> scripted_engine::wait(duration time) {
    net::notification timer(m_executor);
    co_await timer.wait_until(steady_clock()() + time);
}

net::task<> scripted_engine::serve(net::server_exchange& exchange, engine_action action) {
    const bool unframed = m_is_unframed(exchange.request());
    std::uint64_t last =
        action == engine_action::serve_briefly ? brief_events : m_events(exchange.request());
    duration interval = m_event_interval;
    if (action == engine_action::serve_slowly || action == engine_action::stream_endlessly) {
        last = action == engine_action::serve_slowly ? slow_events
                                                     : std::numeric_limits<std::uint64_t>::max();
        interval = slow_event_interval;
    }
    std::uint64_t first = 0;
    (void)parse_int(exchange.request().headers.get("Last-Event-Id"), first);
    const std::string padding = m_padding(exchange.request());
    bool open = co_await begin(exchange, unframed);
    exchange.on_client_disconnect([] {});
    for (std::uint64_t id = first + 1; open && id <= last; ++id) {
        const std::string event =
            str_cat("id: ", id, "\ndata: ", m_event_prefix, "e", id, padding, "\n\n");
        if (id == first + 3 && action == engine_action::hang_in_stream) {
            co_await hang(exchange);
            co_return;
        }
        if (id == first + 3 && action == engine_action::pause) {
            co_await wait(m_pause);
        }
        const bool truncates = action == engine_action::truncate ||
                               (action == engine_action::truncate_new && first == 0);
        if (id == first + 3 && truncates) {
            std::string part = event.substr(0, event.size() / 2);
            co_await write(exchange, std::move(part), unframed);
            exchange.abort();
            co_return;
        }
        open = co_await write(exchange, event, unframed);
        co_await wait(interval);
        open = open && !exchange.client_disconnected();
    }
    if (!open) {
        ++m_disconnects;
        exchange.abort();
        co_return;
    }
    if (unframed) {
        exchange.abort();
        co_return;
    }
    co_await exchange.finish();
}

net::task<bool> scripted_engine::begin(net::server_exchange& exchange, bool unframed) {
    net::http_response head = make_head(200, exchange.request());
    head.headers.set("Content-Type", "text/event-stream");
    bool open = false;
    if (unframed) {
        head.headers.set("Connection", "close");
        const std::string bytes = net::serialize_head(head);
        const net::io_error ec = co_await exchange.connection()->write(bytes);
        open = !ec;
    } else {
        open = co_await exchange.begin(std::move(head));
    }
    co_return open;
}

net::task<bool> scripted_engine::write(net::server_exchange& exchange, std::string data,
                                       bool unframed) {
    bool open = false;
    if (unframed) {
        const net::io_error ec = co_await exchange.connection()->write(data);
        open = !ec;
    } else {
        open = co_await exchange.write(std::move(data));
    }
    co_return open;
}

namespace {

/// 127.64.0.0/10, a part of the loopback network of which each process has one address.
constexpr std::uint32_t own_network = 0x7f400000;
constexpr std::uint32_t addresses_in_network = 1U << 22U;

} // namespace

std::string free_endpoint(net::asio::any_io_executor executor) {
    // The port is free again on return, so it must not be one that other test processes draw from.
    const auto process = static_cast<std::uint32_t>(::getpid());
    const net::asio::ip::address_v4 own(own_network + process % addresses_in_network);
    net::tcp::acceptor acceptor(executor, {own, 0});
    return str_cat(own.to_string(), ":", acceptor.local_endpoint().port());
}

} // namespace eelgrassdoor::test
