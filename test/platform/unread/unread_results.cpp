/// \file
/// Guards against daemons that run out of memory because callers leave pages of results unread:
/// what a daemon holds for unread responses must stay within its memory, and other callers must
/// still get their results. Usage: unread_results PROGRAM FOLDER CASE
#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"
#include "platform/hostile/process_usage.hpp"
#include "soak/daemon_process.hpp"
#include "soak/store_server.hpp"
#include "stand_in/scripted_engine.hpp"
#include "stand_in/slow_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Limits in the settings of both daemons; the checks use the same.
constexpr int memory_mb = 64;
constexpr std::size_t memory_bytes = static_cast<std::size_t>(memory_mb) * 1024 * 1024;
constexpr int max_files = 3000;
constexpr int first_port = 21'000;
constexpr std::string_view metrics_port = "9464";
/// The results of the job take 0.7 MB, one page at most.
constexpr std::size_t items = 24;
constexpr std::uint64_t events_per_item = 126;
constexpr std::size_t event_padding = 215;
/// How often an ordinary caller reads all results beside the crowd.
constexpr int ordinary_reads = 5;
constexpr duration start_timeout = seconds(20);
constexpr duration bound = seconds(40);
constexpr duration call_timeout = seconds(5);
constexpr duration poll_interval = milliseconds(20);

struct crowd_case {
    std::string_view name;
    std::size_t clients = 0;
    reading_pace pace;
};

const std::vector<crowd_case> cases = {
    {"slow", 200, {.bytes_at_once = 2048}},
    {"sipping", 200, {.bytes_at_once = 600, .interval = seconds(2)}},
    {"silent", 200, {.bytes_at_once = 0}},
    {"many", 600, {.bytes_at_once = 2048}},
};

/// One entry host and one host that runs jobs, as processes, and a crowd of readers.
class unread_check {
public:
    unread_check(net::asio::io_context& loop, std::string program, std::string folder,
                 crowd_case which)
        : m_loop(loop), m_case(which),
          m_network(str_cat("127.", 20 + ::getpid() % 200, ".", 1 + ::getpid() / 200 % 250, ".")),
          m_store(loop.get_executor(), str_cat(m_network, "200:", first_port)),
          m_engine(loop.get_executor(), str_cat(m_network, "100:", first_port)),
          m_entry(spec("entry-1", str_cat(m_network, "1"), true, {}), program, folder),
          m_runner(spec("runner-1", str_cat(m_network, "2"), false, {m_entry.control_endpoint()}),
                   program, folder) {}

    net::task<> run() {
        write_records();
        require(m_store.start(), "the store listens");
        m_engine.set_events([](const net::http_request&) { return events_per_item; });
        m_engine.set_padding(
            [](const net::http_request&) { return std::string(event_padding, '.'); });
        m_entry.start(true);
        m_runner.start(true);
        const bool is_prepared = co_await submit_job();
        require(is_prepared, "the job is accepted and its results are listed");
        if (is_prepared) {
            co_await check_crowd();
        }
        m_entry.kill();
        m_runner.kill();
    }

private:
    [[nodiscard]] daemon_spec spec(std::string host, std::string address, bool serves_callers,
                                   std::vector<std::string> seeds) const {
        return {.host = std::move(host),
                .availability_zone = "a",
                .address = std::move(address),
                .first_port = first_port,
                .serves_callers = serves_callers,
                .store = str_cat(m_network, "200:", first_port),
                .seeds = std::move(seeds),
                .memory_mb = memory_mb,
                .max_files = max_files};
    }

    void write_records() {
        const std::string route = R"("host":"h","service":"s",)";
        m_store.memory().put(
            "op/config",
            str_cat(R"({"version":1,"routes":[{"name":"stream",)", route,
                    R"("pathPrefix":"/p/","kind":"streaming","resumable":true,"timeoutMs":5000,)",
                    R"("targetLatencyMs":300,"maxAttempts":2},{"name":"jobs",)", route,
                    R"("pathPrefix":"/j/","kind":"batch","timeoutMs":15000,)",
                    R"("targetLatencyMs":400,"completionTargetMs":18000,"queueTtlS":60,)",
                    R"("maxAttempts":2,"cap":100000}],"services":[{"name":"s"}],)",
                    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)",
                    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)",
                    R"("tenants":[{"name":"c","apiKeys":["key-1"],"ratePerS":10000,)",
                    R"("burst":10000}]})"));
        m_store.memory().put("servers/i-1",
                             str_cat(R"({"service":"s","address":")", m_engine.endpoint(),
                                     R"(","zone":"a","version":"v1","slots":300,)",
                                     R"("state":"ready","seq":1,"born":1})"));
    }

    net::http_request request(std::string method, std::string target) {
        net::http_request out;
        out.method = std::move(method);
        out.target = std::move(target);
        out.headers.set("Host", "h");
        out.headers.set("Attempt-Id", str_cat("attempt-", ++m_requests));
        out.headers.set("Credential", "key-1");
        out.headers.set("Deadline-Ms", "5000");
        return out;
    }

    net::task<result<net::http_response>> call(std::string endpoint, net::http_request request) {
        net::http_client client(m_loop.get_executor(), {.max_idle_connections = 0});
        co_return co_await client.call(std::move(endpoint), std::move(request),
                                       steady_clock()() + call_timeout);
    }

    net::task<> pause() {
        net::notification step(m_loop.get_executor());
        co_await step.wait_until(steady_clock()() + poll_interval);
    }

    net::task<bool> eventually(std::function<bool()> condition, duration limit) {
        const time_point end = steady_clock()() + limit;
        while (!condition() && steady_clock()() < end) {
            co_await pause();
        }
        co_return condition();
    }

    /// Submits the job until it is accepted, and waits until all its results are listed.
    net::task<bool> submit_job() {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t i = 0; i < items; ++i) {
            list.push_back({{"id", str_cat("item-", i)},
                            {"path", str_cat("/j/x/", i)},
                            {"headers", {{"Model", "m"}}},
                            {"body", "eHh4"},
                            {"tokens", 10}});
        }
        const std::string body = nlohmann::json{{"items", list}}.dump();
        const time_point end = steady_clock()() + start_timeout;
        int status = 0;
        while (status != 202 && steady_clock()() < end) {
            net::http_request submission = request("POST", "/j/x");
            submission.headers.set("Attempt-Id", "job");
            submission.body = body;
            const auto got = co_await call(m_entry.caller_endpoint(), std::move(submission));
            status = got ? got.value().status : 0;
            co_await pause();
        }
        std::size_t listed = 0;
        while (listed < items && steady_clock()() < end) {
            listed = co_await read_all_results();
        }
        co_return listed == items;
    }

    /// Reads the results page by page as an ordinary caller does, who asks again when it is
    /// refused. Returns how many it got.
    net::task<std::size_t> read_all_results() {
        const time_point end = steady_clock()() + bound;
        std::size_t after = 0;
        bool has_more = true;
        while (after < items && has_more && steady_clock()() < end) {
            const auto got =
                co_await call(m_entry.caller_endpoint(),
                              request("GET", str_cat("/eelgrassdoor/lots/job?after=", after)));
            const bool is_refused =
                got && got.value().status == 503 && !got.value().headers.get("Retry-After").empty();
            if (is_refused) {
                ++m_refusals;
                co_await pause();
                continue;
            }
            has_more = false;
            if (got && got.value().status == 200) {
                const auto page = nlohmann::json::parse(got.value().body, nullptr, false);
                const std::size_t count = page.contains("results") ? page["results"].size() : 0;
                has_more = count > 0;
                after += count;
            }
        }
        co_return after;
    }

    slow_reader& start_reader(reading_pace pace) {
        const std::string text = net::serialize(request("GET", "/eelgrassdoor/lots/job?after=0"));
        slow_reader& reader =
            m_readers.emplace_back(m_loop.get_executor(), m_entry.caller_endpoint(), text, pace);
        net::asio::co_spawn(m_loop, reader.run(), net::asio::detached);
        return reader;
    }

    net::task<> check_crowd() {
        // A caller on a thin line that reads without a pause, from before the crowd comes.
        const slow_reader& patient = start_reader({.receive_buffer = 32 * 1024,
                                                   .bytes_at_once = 16 * 1024,
                                                   .interval = milliseconds(50)});
        const std::function<bool()> has_begun = [&] { return patient.status() == 200; };
        (void)co_await eventually(has_begun, bound);
        for (std::size_t i = 0; i < m_case.clients; ++i) {
            start_reader(m_case.pace);
        }
        const std::function<bool()> is_here = [&] {
            return std::all_of(m_readers.begin(), m_readers.end(),
                               [](const slow_reader& each) { return each.has_sent(); });
        };
        const bool all_sent = co_await eventually(is_here, bound);
        require(all_sent, "the crowd has sent its requests");
        for (int i = 0; i < ordinary_reads; ++i) {
            const std::size_t listed = co_await read_all_results();
            require(listed == items, str_cat("an ordinary caller gets all results beside the "
                                             "crowd: ",
                                             listed, " of ", items));
        }
        const std::function<bool()> is_read = [&] { return patient.has_ended(); };
        (void)co_await eventually(is_read, bound);
        require(patient.is_complete(), str_cat("a caller that reads all the time gets its whole "
                                               "page: ",
                                               patient.bytes(), " bytes"));
        co_await check_usage("beside the crowd");
        for (slow_reader& each : m_readers) {
            each.close();
        }
        co_await check_given_back();
        co_await check_usage("after the crowd");
        const bool is_served = co_await send_stream();
        require(is_served, "an ordinary request is served after the crowd");
    }

    net::task<bool> send_stream() {
        net::http_request stream = request("POST", "/p/x");
        stream.body = "{}";
        const auto got = co_await call(m_entry.caller_endpoint(), std::move(stream));
        co_return got&& got.value().status == 200;
    }

    /// The value of a metric of the entry host; -1 if there is none.
    net::task<double> metric(std::string name) {
        const auto got =
            co_await call(str_cat(m_network, "1:", metrics_port), request("GET", "/metrics"));
        const std::string text = got ? got.value().body : std::string();
        const std::string before = str_cat("\n", name, " ");
        const std::size_t at = text.find(before);
        const bool is_missing = at == std::string::npos;
        co_return is_missing ? -1 : std::strtod(text.c_str() + at + before.size(), nullptr);
    }

    net::task<> check_given_back() {
        const time_point end = steady_clock()() + bound;
        // The response that reports it has a few KiB itself.
        constexpr double own_bytes = 64.0 * 1024;
        double held = -1;
        while ((held < 0 || held > own_bytes) && steady_clock()() < end) {
            held = co_await metric("response_bytes_unsent");
            co_await pause();
        }
        require(held >= 0 && held <= own_bytes, "unread responses hold nothing after the crowd");
    }

    net::task<> check_usage(std::string_view when) {
        const double yielded = co_await metric("responses_yielded");
        for (daemon_process* each : {&m_entry, &m_runner}) {
            const std::size_t peak = peak_memory(each->pid());
            const std::size_t files = open_descriptors(each->pid());
            std::printf("%s %s: %s has a peak of %zu KiB and %zu descriptors; %.0f responses gave "
                        "way, %d reads of the ordinary caller were refused\n",
                        std::string(m_case.name).c_str(), std::string(when).c_str(),
                        each->spec().host.c_str(), peak / 1024, files, yielded, m_refusals);
            require(each->is_running(), str_cat(each->spec().host, " lives"));
            require(peak > 0 && peak <= memory_bytes,
                    str_cat(each->spec().host, " stays within the memory of its settings"));
            require(files > 0 && files <= max_files,
                    str_cat(each->spec().host, " stays within the descriptors of its settings"));
        }
    }

    net::asio::io_context& m_loop;
    crowd_case m_case;
    std::string m_network;
    store_server m_store;
    scripted_engine m_engine;
    daemon_process m_entry;
    daemon_process m_runner;
    std::deque<slow_reader> m_readers;
    int m_requests = 0;
    /// Reads of the ordinary caller that were refused.
    int m_refusals = 0;
};

} // namespace

int main(int argc, char** argv) {
    const auto found = std::find_if(cases.begin(), cases.end(), [&](const crowd_case& each) {
        return argc == 4 && each.name == argv[3];
    });
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: unread_results PROGRAM FOLDER CASE\n");
        return EXIT_FAILURE;
    }
    std::filesystem::remove_all(argv[2]);
    std::filesystem::create_directories(argv[2]);
    net::asio::io_context loop(1);
    unread_check check(loop, argv[1], argv[2], *found);
    net::asio::co_spawn(loop, check.run(), [&](const std::exception_ptr& failure) {
        require(failure == nullptr, "the check throws no exception");
        loop.stop();
    });
    loop.run();
    const int status = finish();
    std::fflush(stdout);
    // Suspended coroutines refer to the check and to the loop.
    std::_Exit(status);
}
