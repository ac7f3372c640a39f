/// \file
/// Runs the fleet of a deployment as processes under its load, takes the service away as a whole,
/// and measures what is served later than the recovery time after the return: by second, host, zone
/// and kind of request.
///
/// usage: recovery_soak PROGRAM FOLDER SEED CONDITION,...
///
/// The entry hosts are killed and come back. Conditions: all (job hosts too), freeze (stopped
/// instead of killed), engines (engines end too; with engines_same, engines_new, engines_stale,
/// engines_late, engines_in_turn, engines_unstable: end soon after each start), crashes (some
/// engines crash together before), quota (a quarter of a processor in slices), quota_return (the
/// same after the return), herd (all clients send at the return), store_slow, store_silent,
/// store_refusing (after the return), in_turn, jobs_first (hosts come back one after the other),
/// config, lower_rates (configuration written just before), new_job_hosts, new_entry_hosts (others
/// at other addresses), callers_taken, metrics_taken (another program holds the ports, the callers'
/// for some seconds), no_jobs (no batch jobs are sent), high (all loads at the upper step).
#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/http_exchange.hpp"
#include "soak/recovery_fleet.hpp"
#include "soak/run_soak.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr duration warm_up = seconds(4);
constexpr duration measured_time = seconds(6);
constexpr duration recovery_time = seconds(12);
constexpr duration stream_deadline = seconds(5);
constexpr duration connect_timeout = seconds(1);
/// How long a client waits for the next event.
constexpr duration event_timeout = milliseconds(2400);
constexpr duration low_step = seconds(3);
constexpr duration step_period = milliseconds(5200);
constexpr double low_factor = 0.378;
constexpr double high_factor = 1.85;
constexpr int herd_size = 200;
constexpr double jobs_per_second = 0.7;
constexpr int items_per_job = 10;
constexpr int item_tokens = 1740;

struct share {
    int sent = 0;
    int served = 0;
    std::map<std::string, int> failures;
};

class recovery_soak {
public:
    recovery_soak(net::asio::io_context& loop, std::string program, std::string folder,
                  std::uint64_t seed, std::set<std::string> conditions)
        : m_loop(loop), m_random(seed), m_traffic_random(seed + 1),
          m_fleet(loop, m_random, std::move(program), std::move(folder), std::move(conditions)) {}

    net::task<> run() {
        const bool started = co_await m_fleet.start();
        require(started, "the daemons become ready");
        if (!started) {
            co_return;
        }
        m_fleet.spawn(send_streams());
        if (!m_fleet.has("no_jobs")) {
            m_fleet.spawn(send_jobs());
        }
        m_fleet.spawn(watch());
        co_await m_fleet.wait(warm_up);
        m_phase = "before";
        co_await m_fleet.wait(measured_time);
        m_phase = "fault";
        co_await m_fleet.fail();
        m_back_at = steady_clock()();
        m_is_back = true;
        if (m_fleet.has("herd")) {
            for (int i = 0; i < herd_size; ++i) {
                m_fleet.spawn(run_stream());
            }
        }
        co_await m_fleet.wait(recovery_time);
        m_phase = "after";
        co_await m_fleet.wait(measured_time);
        m_phase = "end";
        m_stopped = true;
        co_await m_fleet.wait(stream_deadline);
        report();
    }

private:
    [[nodiscard]] double rate() const {
        const duration time = (steady_clock()() - m_start) % step_period;
        const double factor = time < low_step && !m_fleet.has("high") ? low_factor : high_factor;
        return factor * recovery_fleet::mean_rate;
    }

    net::task<> send_streams() {
        while (!m_stopped) {
            m_fleet.spawn(run_stream());
            const double pause = m_traffic_random.exponential(1 / rate());
            co_await m_fleet.wait(from_seconds(pause));
        }
    }

    net::task<> send_jobs() {
        while (!m_stopped) {
            m_fleet.spawn(run_job());
            const double pause = m_traffic_random.exponential(1 / jobs_per_second);
            co_await m_fleet.wait(from_seconds(pause));
        }
    }

    /// Prints what was served of the requests of each second, and restarts daemons that have ended.
    net::task<> watch() {
        while (!m_stopped) {
            m_ended += m_fleet.restart_ended();
            co_await m_fleet.wait(seconds(1));
            const share& last = m_by_second[second() - 4];
            std::printf("%3d s: ready %d, engines' load %3d, runs %5d; 4 s ago sent %3d, served "
                        "%3d\n",
                        second(), m_fleet.ready_hosts(), m_fleet.engine_load(),
                        m_fleet.engine_runs(), last.sent, last.served);
        }
    }

    [[nodiscard]] int second() const {
        return static_cast<int>(to_seconds(steady_clock()() - m_start));
    }

    std::string random_id() { return str_cat("r", m_traffic_random.next()); }

    net::task<> run_stream() {
        const std::string zone = m_fleet.zones()[m_traffic_random.below(4)];
        const std::string kind = m_traffic_random.below(9) == 0 ? "c" : "q";
        const std::string key = str_cat("key-", m_traffic_random.below(recovery_fleet::customers));
        const std::string prompt = str_cat(absl_hex(0x100 + m_traffic_random.below(20)), ":100,",
                                           absl_hex(0x1000 + m_traffic_random.below(1205)), ":100,",
                                           absl_hex(m_traffic_random.next() >> 8), ":50");
        const time_point deadline = steady_clock()() + stream_deadline;
        duration pause{};
        const std::string first = "first";
        const std::string second = "retry";
        const bool served = co_await try_stream(first, zone, kind, key, prompt, deadline, pause);
        const duration left = deadline - steady_clock()();
        if (served || left <= milliseconds(100)) {
            co_return;
        }
        co_await m_fleet.wait(std::min(pause, left / 3));
        co_await try_stream(second, zone, kind, key, prompt, deadline, pause);
    }

    static std::string absl_hex(std::uint64_t number) {
        std::string out;
        for (; number > 0; number >>= 4U) {
            out.insert(out.begin(), "0123456789abcdef"[number & 15U]);
        }
        return out;
    }

    net::task<bool> try_stream(const std::string& attempt, const std::string& zone,
                               const std::string& kind, const std::string& key,
                               const std::string& prompt, time_point deadline, duration& pause) {
        const time_point now = steady_clock()();
        const std::string phase = m_phase;
        const int sent_in = second();
        daemon_process& host = m_fleet.choose_host(zone);
        std::string failure = "connect";
        const std::string endpoint = host.caller_endpoint();
        pause = milliseconds(100 + m_traffic_random.below(200));
        auto opened = co_await net::http_client::connect(m_loop.get_executor(), endpoint,
                                                         std::min(deadline, now + connect_timeout));
        if (opened) {
            net::http_request request;
            request.method = "POST";
            const std::string id = random_id();
            const std::string content = prompt.substr(prompt.rfind(',') + 1);
            request.target = str_cat("/", kind, "/", content);
            request.body = content + std::string(1500, 'x');
            request.headers.set("Host", "h");
            request.headers.set("Attempt-Id", id);
            request.headers.set("Model", "m");
            request.headers.set("Token-Counts", "250,224");
            request.headers.set("Prompt-Prefix", prompt);
            request.headers.set("Credential", key);
            request.headers.set("Deadline-Ms", std::to_string(to_ms(deadline - now)));
            opened.value()->set_deadline(std::min(deadline, steady_clock()() + event_timeout));
            net::http_exchange exchange(opened.value());
            exchange.send(request);
            const result<void> head = co_await exchange.read_head();
            if (!head) {
                failure = steady_clock()() - now > seconds(2) ? "silent" : "closed";
            } else if (exchange.response().status != 200) {
                failure = str_cat("status ", exchange.response().status);
                double wait_s = 0;
                const std::string after(exchange.response().headers.get("Retry-After"));
                wait_s = std::strtod(after.c_str(), nullptr);
                pause = std::max(pause, from_seconds(wait_s));
            } else {
                bool open = true;
                while (open) {
                    const result<bool> more = co_await exchange.read_body();
                    exchange.response().body.clear();
                    opened.value()->set_deadline(
                        std::min(deadline, steady_clock()() + event_timeout));
                    open = more && more.value();
                    failure = more && !more.value() ? "" : "cut";
                }
            }
            opened.value()->close();
        }
        const bool is_served = failure.empty();
        for (const std::string& name :
             {phase + " all", str_cat(phase, " ", attempt), str_cat(phase, " kind ", kind),
              str_cat(phase, " zone ", zone), str_cat(phase, " at ", host.spec().host)}) {
            share& each = m_shares[name];
            ++each.sent;
            each.served += is_served ? 1 : 0;
            if (!is_served) {
                ++each.failures[failure];
            }
        }
        ++m_by_second[sent_in].sent;
        m_by_second[sent_in].served += is_served ? 1 : 0;
        co_return is_served;
    }

    net::task<net::http_response> call(std::string method, std::string target, std::string id,
                                       std::string body, std::string key) {
        const std::string phase = m_phase;
        const std::string zone = m_fleet.zones()[m_traffic_random.below(4)];
        const std::string endpoint = m_fleet.choose_host(zone).caller_endpoint();
        net::http_client client(m_loop.get_executor());
        net::http_request request;
        share& counted = m_shares[str_cat(phase, " job ", method)];
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        request.headers.set("Host", "h");
        request.headers.set("Attempt-Id", std::move(id));
        request.headers.set("Credential", std::move(key));
        result<net::http_response> response =
            co_await client.call(endpoint, std::move(request), steady_clock()() + seconds(4));
        ++counted.sent;
        if (response && response.value().status / 100 == 2) {
            ++counted.served;
        } else {
            ++counted.failures[response ? str_cat("status ", response.value().status)
                                        : response.error().message];
        }
        co_return response ? std::move(response.value()) : net::http_response();
    }

    net::task<> run_job() {
        const std::string job = random_id();
        const std::string key = str_cat("key-", m_traffic_random.below(recovery_fleet::customers));
        nlohmann::json items = nlohmann::json::array();
        for (int i = 0; i < items_per_job; ++i) {
            const std::string prompt = str_cat(absl_hex(0x300 + m_traffic_random.below(10)),
                                               ":100,", absl_hex(m_traffic_random.next()), ":100");
            items.push_back(
                {{"id", str_cat(job, "-", i)},
                 {"path", str_cat("/j/", i)},
                 {"headers",
                  {{"Model", "m"}, {"Token-Counts", "200,1540"}, {"Prompt-Prefix", prompt}}},
                 {"body", to_base64(std::string(1500, 'x'))},
                 {"tokens", item_tokens}});
        }
        const std::string body = nlohmann::json{{"items", items}}.dump();
        int status = 0;
        for (int attempt = 0; attempt < 6 && status != 202; ++attempt) {
            const net::http_response response =
                co_await call("POST", str_cat("/j/", job), job, body, key);
            status = response.status;
            co_await m_fleet.wait(milliseconds(500));
        }
        std::size_t done = 0;
        while (status == 202 && done < items_per_job && !m_stopped) {
            const net::http_response response =
                co_await call("GET", str_cat("/eelgrassdoor/lots/", job, "?after=", done),
                              random_id(), std::string(), key);
            const auto page = nlohmann::json::parse(response.body, nullptr, false);
            if (response.status == 200 && page.contains("results")) {
                done += page["results"].size();
                m_finished_items[m_phase] += static_cast<int>(page["results"].size());
            }
            co_await m_fleet.wait(milliseconds(500));
        }
    }

    void report() {
        for (const auto& [name, each] : m_shares) {
            std::string failures;
            for (const auto& [failure, count] : each.failures) {
                failures += str_cat("; ", failure, " ", count);
            }
            std::printf("%-22s %4d of %4d%s\n", name.c_str(), each.served, each.sent,
                        failures.c_str());
        }
        for (const auto& [phase, count] : m_finished_items) {
            std::printf("items finished %s: %d\n", phase.c_str(), count);
        }
        std::printf("daemons ended by themselves: %d\n", m_ended);
        const share& before = m_shares["before all"];
        const share& after = m_shares["after all"];
        require(4 * before.served >= before.sent, "service before the fault");
        require(4 * after.served >= after.sent, "service is back after the fault");
        require(m_ended == 0, "no daemon ends by itself");
    }

    net::asio::io_context& m_loop;
    random_source m_random;
    /// What clients draw depends on the moment and must not change the fault.
    random_source m_traffic_random;
    recovery_fleet m_fleet;
    time_point m_start = steady_clock()();
    time_point m_back_at;
    bool m_is_back = false;
    bool m_stopped = false;
    std::string m_phase = "warm";
    std::map<std::string, share> m_shares;
    std::map<int, share> m_by_second;
    std::map<std::string, int> m_finished_items;
    int m_ended = 0;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: recovery_soak PROGRAM FOLDER SEED CONDITION,...\n");
        return EXIT_FAILURE;
    }
    std::set<std::string> conditions;
    for (const std::string_view each : split(argv[4], ',')) {
        conditions.emplace(each);
    }
    run_soak(argv[2], [&](net::asio::io_context& loop) {
        auto* const run = new recovery_soak(loop, argv[1], argv[2],
                                            std::strtoull(argv[3], nullptr, 10), conditions);
        return run->run();
    });
}
