#include "engine.hpp"

#include "base/text.hpp"
#include "net/notification.hpp"

#include <utility>

namespace eelgrassdoor::review {

namespace {

constexpr duration queue_poll_interval = milliseconds(5);
constexpr duration prefill_time = milliseconds(30);
/// How long an engine is down after it has ended.
constexpr duration restart_time = seconds(3);
constexpr duration bind_retry_interval = milliseconds(20);

/// Whether \p part stands in the prompt, a list of ID:TOKENS, and is not its last part.
bool has_shared_part(std::string_view prompt, std::string_view part) {
    const std::vector<std::string_view> parts = split(prompt, ',');
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        if (parts[i].substr(0, parts[i].find(':')) == part) {
            return true;
        }
    }
    return false;
}

} // namespace

engine::engine(net::asio::any_io_executor executor, options settings,
               std::function<void(const std::string&)> record)
    : m_executor(executor), m_settings(std::move(settings)), m_record(std::move(record)),
      m_born(static_cast<std::uint64_t>(wall_clock_ms())) {}

bool engine::start() {
    m_server = std::make_unique<net::http_server>(
        m_executor, net::http_server_options{.endpoint = m_settings.endpoint},
        [this](net::server_exchange& exchange) { return handle(exchange); });
    return m_server->start().has_value();
}

void engine::crash() {
    m_record(str_cat("engine ", m_settings.id, " ends"));
    m_crashes.push_back(steady_clock()());
    m_server->stop();
    m_server->close_connections();
    m_ended_servers.push_back(std::move(m_server));
    net::asio::co_spawn(m_executor, restart(), net::asio::detached);
}

net::task<> engine::restart() {
    co_await net::sleep_for(restart_time);
    m_born = static_cast<std::uint64_t>(wall_clock_ms());
    while (!start()) {
        co_await net::sleep_for(bind_retry_interval);
    }
    m_record(str_cat("engine ", m_settings.id, " is back"));
    m_settings.on_restart(*this);
}

std::string engine::entry() const {
    return str_cat(R"({"service":")", m_settings.service, R"(","address":")", m_settings.endpoint,
                   R"(","zone":")", m_settings.zone, R"(","version":")", m_settings.version,
                   R"(","slots":)", m_settings.slots,
                   R"(,"state":"ready","coldRemainingMs":0,"seq":1,"born":)", m_born, "}");
}

net::task<> engine::handle(net::server_exchange& exchange) {
    const net::header_list& headers = exchange.request().headers;
    if (exchange.request().path() == "/eelgrassdoor/report") {
        net::http_response report;
        report.status = 200;
        report.headers.set("Content-Type", "application/json");
        report.body =
            str_cat(R"({"stage":"both","busy":false,"seq":1,"waiting":)", m_load - m_running,
                    R"(,"running":)", m_running, R"(,"born":)", m_born, "}");
        co_await exchange.respond(std::move(report));
        co_return;
    }
    const std::string expected(headers.get("Expect-Instance"));
    const bool is_other = !expected.empty() && expected != m_settings.id;
    if (is_other || m_load >= m_settings.slots + m_settings.queue) {
        net::http_response refusal;
        refusal.status = is_other ? 421 : 503;
        refusal.headers.set("Attempt-Id", headers.get("Attempt-Id"));
        refusal.headers.set("Not-Executed", "1");
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    ++m_load;
    exchange.on_client_disconnect([] {});
    while (m_running >= m_settings.slots && !exchange.client_disconnected()) {
        co_await net::sleep_for(queue_poll_interval);
    }
    if (!exchange.client_disconnected()) {
        ++m_running;
        co_await run(exchange);
        --m_running;
    }
    --m_load;
    m_last_held = steady_clock()();
}

net::task<> engine::run(net::server_exchange& exchange) {
    const std::string attempt(exchange.request().headers.get("Attempt-Id"));
    std::uint64_t id = 0;
    (void)parse_int(exchange.request().headers.get("Last-Event-Id"), id);
    const std::string tenant(exchange.request().headers.get("Tenant"));
    m_attempts.insert(attempt);
    const bool is_stream = exchange.request().path().starts_with("/q/");
    const std::uint64_t last = is_stream ? m_settings.stream_events : m_settings.events;
    m_record(
        str_cat("engine ", m_settings.id, " runs ", attempt, " of tenant ", tenant, " from ", id));
    const std::string prompt(exchange.request().headers.get("Prompt-Prefix"));
    co_await net::sleep_for(prefill_time);
    const bool is_fatal =
        !m_settings.crashing_part.empty() && has_shared_part(prompt, m_settings.crashing_part);
    if (is_fatal && !exchange.client_disconnected()) {
        crash();
        co_return;
    }
    net::http_response head;
    head.status = 200;
    head.headers.set("Attempt-Id", attempt);
    head.headers.set("Server-Seal", str_cat("seal-", m_settings.id));
    head.headers.set("Content-Type", "text/event-stream");
    bool is_open = co_await exchange.begin(std::move(head));
    while (is_open && id < last) {
        ++id;
        is_open = co_await exchange.write(str_cat("id: ", id, "\ndata: ", attempt.substr(0, 16),
                                                  "-", id, m_settings.padding, "\n\n"));
        co_await net::sleep_for(m_settings.event_interval);
        is_open = is_open && !exchange.client_disconnected();
    }
    if (!is_open) {
        exchange.abort();
        co_return;
    }
    co_await exchange.finish();
    m_last_finished = steady_clock()();
}

} // namespace eelgrassdoor::review
