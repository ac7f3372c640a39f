#include "soak/soak_clients.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/http_exchange.hpp"
#include "soak/traffic.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr duration stream_interval = milliseconds(60);
constexpr duration job_interval = milliseconds(500);
constexpr duration once_interval = milliseconds(150);
constexpr duration stream_deadline = seconds(5);
constexpr duration connect_timeout = seconds(1);
constexpr duration retry_delay = milliseconds(350);
constexpr int max_tries = 4;
/// One job in three has several items.
constexpr std::size_t items_per_job = 6;
constexpr int kept_clients = 16;
constexpr duration longest_pause = milliseconds(500);
/// How long a client waits beyond its deadline for an answer.
constexpr duration answer_slack = seconds(1);
constexpr duration job_poll_interval = milliseconds(500);
/// How long a caller reads a job.
constexpr duration job_deadline = seconds(40);
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
    for (int i = 0; i < kept_clients; ++i) {
        spawn(run_kept_client());
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
        co_await m_fleet.wait(stream_interval);
    }
}

net::task<> soak_clients::send_jobs() {
    for (int number = 0; !m_stopped; ++number) {
        spawn(run_job(number, number % 3 == 0 ? items_per_job : 1));
        co_await m_fleet.wait(job_interval);
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
    if (response.status == 503 || response.status == 429) {
        m_refused.insert(target);
    }
}

void soak_clients::record(const daemon_process& host, request_kind kind, time_point sent_at,
                          bool served) {
    m_tries.add({&host, kind, sent_at, served, m_fleet.can_serve(host, sent_at)});
}

void soak_clients::check_single_runs() const {
    for (const auto& [path, runs] : m_fleet.engines().requests().runs_by_path(once_path)) {
        require(runs == 1, str_cat(path, " ran ", runs, " times"));
        require(m_refused.count(path) == 0, str_cat(path, " was refused and has run"));
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
        record(*host, kind, sent_at, whole && exchange.response().status == 200);
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

net::task<> soak_clients::run_stream(int number) {
    stream_text text;
    const time_point deadline = steady_clock()() + stream_deadline;
    for (int attempt = 0; attempt < max_tries && !text.whole && steady_clock()() < deadline;
         ++attempt) {
        const std::uint64_t before = text.last_event;
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const time_point sent_at = steady_clock()();
        (void)co_await try_stream(endpoint, text, deadline);
        if (attempt == 0) {
            record(host, request_kind::stream, sent_at, text.whole);
        }
        text.resumed = text.resumed || (before > 0 && text.last_event > before);
        if (!text.whole) {
            co_await m_fleet.wait(retry_delay);
        }
    }
    ++m_counts.streams;
    m_counts.whole_streams += text.whole ? 1 : 0;
    m_counts.resumed_streams += text.resumed ? 1 : 0;
    m_counts.mixed_streams += text.versions.size() > 1 ? 1 : 0;
    if (text.whole && text.last_event != events_per_stream) {
        m_counts.faults.push_back(str_cat("stream ", number, " (", text.first_attempt,
                                          ") is whole after event ", text.last_event));
    }
}

net::task<bool> soak_clients::try_stream(std::string endpoint, stream_text& text,
                                         time_point deadline) {
    const time_point now = steady_clock()();
    auto opened = co_await net::http_client::connect(m_loop.get_executor(), endpoint,
                                                     std::min(deadline, now + connect_timeout));
    if (!opened) {
        co_return false;
    }
    opened.value()->set_deadline(deadline);
    net::http_request request;
    request.method = "POST";
    const std::string attempt = random_id();
    request.target = str_cat("/p/", attempt);
    request.body = "{}";
    request.headers.set("Host", "h");
    request.headers.set("Attempt-Id", attempt);
    request.headers.set("Credential", "key-1");
    request.headers.set("Deadline-Ms", std::to_string(to_ms(deadline - now)));
    if (m_fleet.has_cuts()) {
        // As in production, requests share the first parts of their prompts.
        const std::string own = attempt.substr(1);
        request.headers.set("Prompt-Prefix",
                            str_cat("a:200,", own.substr(0, 1), ":100,", own, ":20"));
    }
    if (text.last_event > 0) {
        request.headers.set("Last-Event-Id", std::to_string(text.last_event));
        request.headers.set("Resumes", text.first_attempt);
    }
    net::http_exchange exchange(opened.value());
    exchange.send(request);
    const result<void> head = co_await exchange.read_head();
    if (!head || exchange.response().status != 200) {
        opened.value()->close();
        co_return false;
    }
    std::string bytes;
    for (;;) {
        const result<bool> more = co_await exchange.read_body();
        bytes += std::exchange(exchange.response().body, {});
        take_events(bytes, text, attempt);
        if (!more || !more.value()) {
            text.whole = more.has_value() && bytes.empty();
            break;
        }
    }
    opened.value()->close();
    co_return true;
}

void soak_clients::take_events(std::string& bytes, stream_text& text, const std::string& attempt) {
    for (std::size_t end = bytes.find("\n\n"); end != std::string::npos; end = bytes.find("\n\n")) {
        const std::string event = bytes.substr(0, end);
        bytes.erase(0, end + 2);
        std::string_view rest = event;
        std::uint64_t id = 0;
        const std::size_t data = event.find("\ndata: ");
        const bool has_id = consume_prefix(rest, "id: ") && data != std::string::npos &&
                            parse_int(rest.substr(0, data - 4), id);
        const std::string expected = str_cat("e", text.last_event + 1);
        const std::string content = has_id ? event.substr(data + 7) : "";
        const std::size_t mark = content.find('e');
        if (!has_id || id != text.last_event + 1 || mark == std::string::npos ||
            content.substr(mark) != expected) {
            m_counts.faults.push_back(str_cat("stream ", text.first_attempt, ", attempt ", attempt,
                                              ": after event ", text.last_event, " came \"", event,
                                              "\""));
        }
        if (text.last_event == 0) {
            text.first_attempt = attempt;
        }
        text.last_event = id;
        text.versions.insert(content.substr(0, mark));
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

net::task<> soak_clients::run_job(int number, std::size_t size) {
    const std::string job = str_cat("job-", number, "-", m_random.next());
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t i = 0; i < size; ++i) {
        items.push_back({{"id", str_cat(job, "-", i)},
                         {"path", str_cat("/j/", i)},
                         {"headers", {{"Model", "m"}}},
                         {"body", ""},
                         {"tokens", 100}});
    }
    const std::string body = nlohmann::json{{"items", items}}.dump();
    const time_point deadline = steady_clock()() + job_deadline;
    int status = 0;
    bool is_first = true;
    while (status != 202 && steady_clock()() < deadline && !m_stopped) {
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const time_point sent_at = steady_clock()();
        const std::string target = "/j/" + job;
        const std::string method = "POST";
        const net::http_response response = co_await call(endpoint, method, target, job, body);
        status = response.status;
        if (std::exchange(is_first, false)) {
            record(host, request_kind::job_acceptance, sent_at, status == 202);
        }
        co_await m_fleet.wait(job_poll_interval);
    }
    if (status != 202) {
        co_return;
    }
    ++m_counts.accepted_jobs;
    std::map<std::string, std::string> known;
    while (known.size() < size && steady_clock()() < deadline) {
        const daemon_process& host = random_entry_host();
        const std::string endpoint = host.caller_endpoint();
        const time_point sent_at = steady_clock()();
        const std::string target = str_cat("/eelgrassdoor/lots/", job, "?after=0");
        const std::string method = "GET";
        const std::string id = random_id();
        const std::string no_body;
        const net::http_response response = co_await call(endpoint, method, target, id, no_body);
        record(host, request_kind::job_read, sent_at, response.status == 200);
        if (response.status == 200) {
            check_results(job, response.body, known);
        }
        co_await m_fleet.wait(job_poll_interval);
    }
    m_counts.finished_jobs += known.size() == size ? 1 : 0;
}

void soak_clients::check_results(const std::string& job, const std::string& page,
                                 std::map<std::string, std::string>& known) {
    const auto json = nlohmann::json::parse(page, nullptr, false);
    if (!json.contains("results")) {
        m_counts.faults.push_back(str_cat(job, ": a page cannot be read"));
        return;
    }
    for (const nlohmann::json& each : json["results"]) {
        const std::string item = each.value("id", "");
        const std::string text = each.value("output", "");
        const auto [entry, is_new] = known.emplace(item, text);
        if (!is_new && entry->second != text) {
            m_counts.faults.push_back(str_cat(item, ": the result has changed"));
        }
        if (is_new && each.value("state", "") == "complete") {
            check_text(item, text);
        }
    }
}

void soak_clients::check_text(const std::string& item, const std::string& text) {
    std::set<std::string> versions;
    std::uint64_t next = 1;
    for (const std::string_view line : split(text, '\n')) {
        const std::size_t mark = line.find('e');
        if (mark == std::string_view::npos || line.substr(mark) != str_cat("e", next)) {
            m_counts.faults.push_back(
                str_cat(item, ": event ", next, " of the text is \"", std::string(line), "\""));
            return;
        }
        versions.insert(std::string(line.substr(0, mark)));
        ++next;
    }
    if (next != events_per_stream + 1 || versions.size() != 1) {
        m_counts.faults.push_back(str_cat(item, ": the text has ", next - 1, " events of ",
                                          versions.size(), " versions"));
    }
}

} // namespace eelgrassdoor::test
