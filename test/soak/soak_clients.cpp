#include "soak/soak_clients.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/http_exchange.hpp"
#include "soak/traffic.hpp"

#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr duration once_interval = milliseconds(150);
constexpr duration stream_deadline = seconds(5);
constexpr duration connect_timeout = seconds(1);
constexpr duration retry_delay = milliseconds(350);
/// One job in three has several items.
constexpr std::size_t items_per_job = 6;
constexpr std::size_t items_per_long_job = 10;
constexpr duration longest_pause = milliseconds(500);
/// How long a client waits beyond its deadline for an answer.
constexpr duration answer_slack = seconds(1);
constexpr duration call_timeout = milliseconds(2500);

} // namespace

void soak_clients::spawn(net::task<> caller) {
    ++m_running;
    net::asio::co_spawn(m_loop, std::move(caller), [this](const std::exception_ptr& failure) {
        --m_running;
        if (failure) {
            m_counts.faults.emplace_back("a caller ended with an exception");
        }
    });
}

void soak_clients::start() {
    spawn(send_streams());
    spawn(send_jobs());
    spawn(send_once());
    for (int i = 0; i < m_traffic.kept_clients; ++i) {
        spawn(run_kept_client());
    }
    if (m_traffic.long_job_interval > duration()) {
        spawn(send_long_jobs());
    }
    if (m_traffic.once_stream_interval > duration()) {
        spawn(send_once_streams());
    }
}

daemon_process& soak_clients::random_entry_host() {
    const std::vector<daemon_process*> hosts = m_fleet.entry_hosts();
    return *hosts[m_random.next() % hosts.size()];
}

std::string soak_clients::random_id() {
    return str_cat("r", m_random.next());
}

net::task<> soak_clients::send_streams() {
    for (int number = 0; !m_stopped; ++number) {
        spawn(run_stream(number));
        co_await m_fleet.wait(m_traffic.stream_interval);
    }
}

net::task<> soak_clients::send_jobs() {
    for (int number = 0; !m_stopped; ++number) {
        spawn(run_job(number, {.items = number % 3 == 0 ? items_per_job : 1}));
        co_await m_fleet.wait(m_traffic.job_interval);
    }
}

net::task<> soak_clients::send_long_jobs() {
    for (int number = 0; !m_stopped; ++number) {
        spawn(run_job(
            number,
            {.items = items_per_long_job, .events = events_per_long_item, .path = long_item_path}));
        co_await m_fleet.wait(m_traffic.long_job_interval);
    }
}

net::task<> soak_clients::send_once_streams() {
    while (!m_stopped) {
        spawn(run_once_stream());
        co_await m_fleet.wait(m_traffic.once_stream_interval);
    }
}

net::task<> soak_clients::send_once() {
    while (!m_stopped) {
        spawn(run_once());
        co_await m_fleet.wait(once_interval);
    }
}

net::task<> soak_clients::run_once() {
    const time_point sent_at = steady_clock()();
    const daemon_process& host = random_entry_host();
    const std::string endpoint = host.caller_endpoint();
    const std::string id = random_id();
    const std::string target = str_cat(once_path, id);
    const std::string method = "POST";
    const std::string body = "{}";
    const net::http_response response = co_await call(endpoint, method, target, id, body);
    record(host, request_kind::once, sent_at, response.status == 200);
    if (response.status == 200) {
        check_plain(target, response.body, events_per_brief_response);
    }
    if (response.status == 503 || response.status == 429) {
        m_refused.insert(target);
    }
}

void soak_clients::record(const daemon_process& host, request_kind kind, time_point sent_at,
                          bool served) {
    m_tries.add({&host, kind, sent_at, served, m_fleet.can_serve(host, sent_at)});
}

void soak_clients::check_single_runs() const {
    for (const std::string_view prefix : {once_path, once_stream_path}) {
        for (const auto& [path, runs] : m_fleet.engines().requests().runs_by_path(prefix)) {
            require(runs == 1, str_cat(path, " ran ", runs, " times"));
            require(m_refused.count(path) == 0, str_cat(path, " was refused and has run"));
        }
    }
}

net::task<> soak_clients::run_kept_client() {
    std::shared_ptr<net::tcp_connection> connection;
    daemon_process* host = nullptr;
    while (!m_stopped) {
        const time_point sent_at = steady_clock()();
        const bool repeats = m_random.next() % 2 == 0;
        const request_kind kind = repeats ? request_kind::repeated : request_kind::plain;
        if (!connection || !connection->is_open()) {
            host = &random_entry_host();
            const std::string endpoint = host->caller_endpoint();
            auto opened = co_await net::http_client::connect(m_loop.get_executor(), endpoint,
                                                             sent_at + connect_timeout);
            if (!opened) {
                record(*host, kind, sent_at, false);
                co_await m_fleet.wait(retry_delay);
                continue;
            }
            connection = std::move(opened.value());
        }
        const std::size_t earlier_runs = m_fleet.engines().requests().count();
        net::http_request request;
        request.method = "POST";
        const std::string id = random_id();
        request.target = str_cat("/s/", repeats ? "x" : id);
        request.body = "{}";
        request.headers.set("Host", "h");
        request.headers.set("Attempt-Id", id);
        request.headers.set("Credential", "key-1");
        request.headers.set("Deadline-Ms", std::to_string(to_ms(stream_deadline)));
        connection->set_deadline(sent_at + stream_deadline + answer_slack);
        net::http_exchange exchange(connection);
        exchange.send(request);
        const result<void> head = co_await exchange.read_head();
        bool whole = false;
        if (head) {
            const result<void> rest = co_await exchange.read_all();
            whole = rest.has_value();
        }
        const bool served = whole && exchange.response().status == 200;
        record(*host, kind, sent_at, served);
        if (served) {
            check_plain(id, exchange.response().body, events_per_stream);
        }
        ++m_counts.kept_requests;
        m_counts.answered_kept_requests += whole ? 1 : 0;
        // A request that crosses the close of an idle connection has not been passed on.
        const bool passed_on = m_fleet.engines().requests().count() > earlier_runs;
        if (!head && passed_on && !m_fleet.was_disturbed(*host, sent_at)) {
            ++m_counts.lost_requests[host->spec().host];
        }
        if (!whole || !exchange.reusable()) {
            connection->close();
        }
        co_await m_fleet.wait(milliseconds(m_random.below(to_ms(longest_pause))));
    }
}

net::task<net::http_response> soak_clients::call(std::string endpoint, std::string method,
                                                 std::string target, std::string id,
                                                 std::string body) {
    net::http_client client(m_loop.get_executor());
    net::http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.headers.set("Host", "h");
    request.headers.set("Attempt-Id", id);
    request.headers.set("Credential", "key-1");
    result<net::http_response> response =
        co_await client.call(endpoint, std::move(request), steady_clock()() + call_timeout);
    co_return response ? std::move(response.value()) : net::http_response();
}

} // namespace eelgrassdoor::test
