#include "soak/recovery_engine.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr int slots = 8;
constexpr int queue_length = 24;
constexpr duration queue_poll_interval = milliseconds(5);
/// Time to read a prompt, and between two events of seven tokens each.
constexpr duration prefill_time = milliseconds(35);
constexpr duration event_interval = milliseconds(22);
constexpr std::uint64_t stream_events = 32;
constexpr std::uint64_t item_events = 220;

net::http_response make_refusal(const std::string& attempt, int status) {
    net::http_response out;
    out.status = status;
    out.headers.set("Attempt-Id", attempt);
    out.headers.set("Not-Executed", "1");
    return out;
}

} // namespace

recovery_engine::recovery_engine(net::asio::any_io_executor executor, std::string id,
                                 std::string endpoint, std::string zone)
    : born(static_cast<std::uint64_t>(wall_clock_ms())), m_executor(std::move(executor)),
      m_id(std::move(id)), m_endpoint(std::move(endpoint)), m_zone(std::move(zone)) {}

std::string recovery_engine::entry() const {
    return str_cat(R"({"service":"s","address":")", m_endpoint, R"(","zone":")", m_zone,
                   R"(","version":"v1","slots":)", slots,
                   R"(,"state":"ready","coldRemainingMs":0,"seq":1,"born":)", born, "}");
}

void recovery_engine::start() {
    if (m_is_running) {
        return;
    }
    ++m_start;
    m_load = 0;
    m_running = 0;
    m_servers.push_back(std::make_unique<net::http_server>(
        m_executor, net::http_server_options{.endpoint = m_endpoint},
        [this](net::server_exchange& exchange) { return handle(exchange); }));
    m_is_running = m_servers.back()->start().has_value();
}

void recovery_engine::stop() {
    if (m_is_running) {
        m_is_running = false;
        m_servers.back()->stop();
        m_servers.back()->close_connections();
    }
}

net::task<> recovery_engine::wait(duration time) {
    net::notification timer(m_executor);
    co_await timer.wait_until(steady_clock()() + time);
}

net::task<> recovery_engine::handle(net::server_exchange& exchange) {
    if (exchange.request().target == "/eelgrassdoor/report") {
        net::http_response report;
        report.status = 200;
        report.headers.set("Content-Type", "application/json");
        report.body = str_cat(R"({"stage":"both","seq":1,"born":)", born, "}");
        co_await exchange.respond(std::move(report));
        co_return;
    }
    const int start = m_start;
    const net::header_list& headers = exchange.request().headers;
    const std::string attempt(headers.get("Attempt-Id"));
    const std::string expected(headers.get("Expect-Instance"));
    const bool is_other = !expected.empty() && expected != m_id;
    if (is_other || m_load >= slots + queue_length) {
        m_refusals += is_other ? 0 : 1;
        net::http_response refusal = make_refusal(attempt, is_other ? 421 : 503);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    ++m_load;
    exchange.on_client_disconnect([] {});
    while (m_running >= slots && !is_gone(start) && !exchange.client_disconnected()) {
        co_await wait(queue_poll_interval);
    }
    if (!is_gone(start) && !exchange.client_disconnected()) {
        ++m_running;
        ++m_runs;
        co_await run(exchange, start);
        m_running -= is_gone(start) ? 0 : 1;
    }
    m_load -= start == m_start ? 1 : 0;
}

net::task<> recovery_engine::run(net::server_exchange& exchange, int start) {
    co_await wait(prefill_time);
    const net::http_request& request = exchange.request();
    const bool is_item = request.path().starts_with("/j/");
    std::uint64_t id = 0;
    (void)parse_int(request.headers.get("Last-Event-Id"), id);
    net::http_response head;
    head.status = 200;
    head.headers.set("Attempt-Id", request.headers.get("Attempt-Id"));
    head.headers.set("Server-Seal", str_cat("seal-", m_id));
    head.headers.set("Content-Type", "text/event-stream");
    if (is_gone(start)) {
        co_return;
    }
    bool is_open = co_await exchange.begin(std::move(head));
    const std::uint64_t last = is_item ? item_events : stream_events;
    while (is_open && id < last) {
        ++id;
        const std::string event = str_cat("id: ", id, "\ndata: e", id, "\n\n");
        is_open = co_await exchange.write(event);
        co_await wait(event_interval);
        is_open = is_open && !is_gone(start) && !exchange.client_disconnected();
    }
    if (!is_open) {
        exchange.abort();
        co_return;
    }
    co_await exchange.finish();
}

} // namespace eelgrassdoor::test
