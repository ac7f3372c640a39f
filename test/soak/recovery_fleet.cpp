#include "soak/recovery_fleet.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"

#include <algorithm>
#include <csignal>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr int engines_per_zone = 3;
constexpr duration ready_timeout = seconds(20);
constexpr duration readiness_interval = seconds(1);
constexpr int allowed_misses = 2;
/// A quota of a quarter of a core: how long a daemon runs and is stopped in turn.
constexpr duration quota_run = milliseconds(25);
constexpr duration quota_stop = milliseconds(75);
constexpr duration throttled_return = seconds(14);
constexpr duration store_trouble = seconds(6);
constexpr duration host_interval = milliseconds(800);
constexpr duration engine_interval = milliseconds(600);
constexpr duration late_engines = seconds(4);
constexpr int engine_crashes = 6;

} // namespace

recovery_fleet::recovery_fleet(net::asio::io_context& loop, random_source& random,
                               std::string program, std::string folder,
                               std::set<std::string> conditions)
    : m_loop(loop), m_random(random), m_program(std::move(program)), m_folder(std::move(folder)),
      m_conditions(std::move(conditions)),
      m_network(str_cat("127.", 20 + ::getpid() % 200, ".", 1 + ::getpid() / 200 % 250, ".")),
      m_first_port(static_cast<int>(20'000 + random.below(10'000))),
      m_store_endpoint(str_cat(m_network, "200:", m_first_port)),
      m_store(loop.get_executor(), m_store_endpoint) {
    for (const std::string& zone : m_zones) {
        const int entry_hosts = zone < "c" ? 3 : 1;
        for (int i = 0; i < entry_hosts; ++i) {
            add_host(zone, true);
        }
    }
    for (const std::string& zone : m_zones) {
        add_host(zone, false);
        for (int i = 0; i < engines_per_zone; ++i) {
            add_engine(zone);
        }
    }
}

recovery_fleet::host& recovery_fleet::add_host(const std::string& zone, bool serves_callers) {
    const std::size_t number = m_hosts.size() + 1;
    daemon_spec spec{.host = str_cat(serves_callers ? "entry-" : "jobs-", zone, "-", number),
                     .availability_zone = zone,
                     .address = str_cat(m_network, number),
                     .first_port = m_first_port,
                     .serves_callers = serves_callers,
                     .store = m_store_endpoint,
                     .seeds = m_seeds};
    m_hosts.push_back(std::make_unique<host>());
    host& out = *m_hosts.back();
    out.daemon = std::make_unique<daemon_process>(std::move(spec), m_program, m_folder);
    if (m_seeds.size() < 3) {
        m_seeds.push_back(out.daemon->control_endpoint());
    }
    return out;
}

void recovery_fleet::add_engine(const std::string& zone) {
    const std::size_t number = m_engines.size() + 1;
    m_engines.push_back(std::make_unique<recovery_engine>(
        m_loop.get_executor(), str_cat("i-", number),
        str_cat(m_network, 100 + number, ":", m_first_port), zone));
}

void recovery_fleet::write_entry(const recovery_engine& engine) {
    m_store.memory().put(str_cat("servers/", engine.id()), engine.entry());
}

void recovery_fleet::write_configuration(double rate_factor) {
    m_version += 3;
    const std::string common = R"("host":"h","service":"s","public":false,"sessionAffinity":true,)";
    const std::string stream = str_cat(
        common, R"("timeoutMs":5000,"targetLatencyMs":300,"priority":0,"kind":"streaming",)",
        R"("gapAimMs":300,)");
    std::string out = str_cat(
        R"({"version":)", m_version, R"(,"routes":[{"name":"question","pathPrefix":"/q/",)", stream,
        R"("maxAttempts":1},{"name":"check","pathPrefix":"/c/",)", stream,
        R"("resumable":true,"maxAttempts":2},{"name":"summary","pathPrefix":"/j/",)", common,
        R"("kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"completionTargetMs":18000,)",
        R"("queueTtlS":120,"maxAttempts":3,"cap":0,"priority":2}],"services":[{"name":"s",)",
        R"("healthPath":"/health","maxConnections":300}],"limits":{"maxHeaderBytes":16384,)",
        R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[)");
    const double rate = 1.6 * rate_factor * mean_rate / customers;
    for (int i = 0; i < customers; ++i) {
        out += str_cat(i == 0 ? "" : ",", R"({"name":"c)", i, R"(","apiKeys":["key-)", i,
                       R"("],"ratePerS":)", rate, R"(,"burst":)", rate, "}");
    }
    m_store.memory().put("op/config", out + "]}");
}

net::task<> recovery_fleet::wait(duration time) {
    net::notification timer(m_loop.get_executor());
    co_await timer.wait_until(steady_clock()() + time);
}

void recovery_fleet::spawn(net::task<> work) {
    net::asio::co_spawn(m_loop, std::move(work), [](const std::exception_ptr& failure) {
        require(failure == nullptr, "no part of the soak throws an exception");
    });
}

net::task<bool> recovery_fleet::start() {
    const bool listens = m_store.start();
    if (!listens) {
        co_return false;
    }
    write_configuration(1);
    for (const auto& each : m_engines) {
        each->start();
        write_entry(*each);
    }
    for (const auto& each : m_hosts) {
        each->daemon->start(true);
        if (each->daemon->spec().serves_callers) {
            each->missed_checks = allowed_misses;
            spawn(check_readiness(*each));
        }
        each->is_throttled = has("quota");
        spawn(throttle(*each));
    }
    const time_point end = steady_clock()() + ready_timeout;
    while (ready_hosts() < 8 && steady_clock()() < end) {
        co_await wait(milliseconds(100));
    }
    co_return ready_hosts() == 8;
}

net::task<> recovery_fleet::check_readiness(host& each) {
    while (!each.is_gone) {
        net::http_client client(m_loop.get_executor());
        net::http_request request;
        request.method = "GET";
        request.target = "/eelgrassdoor/ready";
        const std::string endpoint = each.daemon->readiness_endpoint();
        request.headers.set("Host", endpoint);
        const auto response = co_await client.call(endpoint, std::move(request),
                                                   steady_clock()() + readiness_interval);
        const bool is_ready = response && response.value().status == 200;
        each.missed_checks = is_ready ? 0 : each.missed_checks + 1;
        co_await wait(readiness_interval);
    }
}

int recovery_fleet::ready_hosts() const {
    return static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto& each) {
        return each->daemon->spec().serves_callers && !each->is_gone &&
               each->missed_checks < allowed_misses;
    }));
}

daemon_process& recovery_fleet::choose_host(const std::string& zone) {
    std::vector<daemon_process*> all;
    std::vector<daemon_process*> ready;
    std::vector<daemon_process*> elsewhere;
    for (const auto& each : m_hosts) {
        const daemon_spec& spec = each->daemon->spec();
        if (!spec.serves_callers || each->is_gone) {
            continue;
        }
        const bool is_ready = each->missed_checks < allowed_misses;
        if (spec.availability_zone == zone) {
            all.push_back(each->daemon.get());
        }
        if (is_ready) {
            (spec.availability_zone == zone ? ready : elsewhere).push_back(each->daemon.get());
        }
    }
    const std::vector<daemon_process*>& chosen = ready.empty() && !elsewhere.empty() ? elsewhere
                                                 : 2 * ready.size() < all.size()     ? all
                                                                                     : ready;
    return *chosen[m_random.below(chosen.size())];
}

net::task<> recovery_fleet::throttle(host& each) {
    co_await wait(milliseconds(m_random.below(100)));
    while (!each.is_gone) {
        if (each.is_throttled && !each.is_down) {
            each.daemon->signal(SIGSTOP);
            co_await wait(quota_stop);
            each.daemon->signal(SIGCONT);
        }
        co_await wait(quota_run);
    }
}

net::task<> recovery_fleet::crash_engines() {
    for (int i = 0; i < engine_crashes; ++i) {
        for (int k = 0; k < engines_per_zone + 1; ++k) {
            recovery_engine& one = *m_engines[m_random.below(m_engines.size())];
            one.stop();
        }
        co_await wait(milliseconds(700));
        for (const auto& each : m_engines) {
            if (!each->is_running()) {
                each->born = static_cast<std::uint64_t>(wall_clock_ms());
                each->start();
                write_entry(*each);
            }
        }
        co_await wait(milliseconds(700));
    }
}

net::task<> recovery_fleet::fail() {
    if (has("crashes")) {
        co_await crash_engines();
    }
    if (has("config") || has("lower_rates")) {
        write_configuration(has("lower_rates") ? 0.6 : 1);
        co_await wait(milliseconds(m_random.below(60)));
    }
    std::vector<host*> killed;
    for (const auto& each : m_hosts) {
        if (each->daemon->spec().serves_callers || has("all") || has("new_job_hosts")) {
            killed.push_back(each.get());
        }
    }
    for (host* each : killed) {
        each->is_down = true;
        if (has("freeze")) {
            each->daemon->signal(SIGSTOP);
        } else {
            each->daemon->kill();
        }
    }
    if (has("engines")) {
        for (const auto& each : m_engines) {
            each->stop();
        }
    }
    for (host* each : killed) {
        const daemon_spec& spec = each->daemon->spec();
        const std::string endpoint = has("metrics_taken")  ? str_cat(spec.address, ":9464")
                                     : spec.serves_callers ? each->daemon->caller_endpoint()
                                                           : std::string();
        if ((has("metrics_taken") || has("callers_taken")) && !endpoint.empty()) {
            m_others.push_back(std::make_unique<net::http_server>(
                m_loop.get_executor(), net::http_server_options{.endpoint = endpoint},
                [](net::server_exchange& exchange) -> net::task<> {
                    exchange.abort();
                    co_return;
                }));
            require(m_others.back()->start().has_value(), "another program takes a port");
        }
    }
    co_await wait(milliseconds(500 + m_random.below(1200)));
    spawn([](recovery_fleet& fleet) -> net::task<> {
        co_await fleet.wait(seconds(5));
        for (const auto& each : fleet.m_others) {
            if (!fleet.has("metrics_taken")) {
                each->stop();
            }
        }
    }(*this));
    if (has("store_slow") || has("store_silent") || has("store_refusing")) {
        m_store.set_state(has("store_slow")     ? store_state::slow
                          : has("store_silent") ? store_state::silent
                                                : store_state::refusing);
        spawn([](recovery_fleet& fleet) -> net::task<> {
            co_await fleet.wait(store_trouble);
            fleet.m_store.set_state(store_state::sound);
        }(*this));
    }
    spawn(return_engines());
    co_await return_hosts(killed);
}

net::task<> recovery_fleet::return_hosts(std::vector<host*> hosts) {
    if (has("jobs_first")) {
        std::reverse(hosts.begin(), hosts.end());
    }
    for (host* each : hosts) {
        const daemon_spec spec = each->daemon->spec();
        host* back = each;
        if (has(spec.serves_callers ? "new_entry_hosts" : "new_job_hosts")) {
            each->is_gone = true;
            back = &add_host(spec.availability_zone, spec.serves_callers);
            back->missed_checks = allowed_misses;
            if (spec.serves_callers) {
                spawn(check_readiness(*back));
            }
            spawn(throttle(*back));
        }
        back->is_down = false;
        back->is_throttled = has("quota") || has("quota_return");
        back->daemon->signal(SIGCONT);
        back->daemon->start(false);
        if (has("in_turn") || has("jobs_first")) {
            co_await wait(host_interval);
        }
    }
    spawn([](recovery_fleet& fleet) -> net::task<> {
        co_await fleet.wait(throttled_return);
        for (const auto& each : fleet.m_hosts) {
            each->is_throttled = fleet.has("quota");
        }
    }(*this));
}

net::task<> recovery_fleet::return_engines() {
    if (!has("engines")) {
        co_return;
    }
    if (has("engines_late")) {
        co_await wait(late_engines);
    }
    const std::size_t count = m_engines.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (has("engines_new")) {
            if (!has("engines_stale")) {
                m_store.memory().erase(str_cat("servers/", m_engines[i]->id()));
            }
            const std::string zone = m_engines[i]->zone();
            add_engine(zone);
        }
        recovery_engine& each = has("engines_new") ? *m_engines.back() : *m_engines[i];
        each.start();
        if (!has("engines_same")) {
            each.born = static_cast<std::uint64_t>(wall_clock_ms());
            write_entry(each);
        }
        if (has("engines_unstable")) {
            spawn(restart_often(each));
        }
        if (has("engines_in_turn")) {
            co_await wait(engine_interval);
        }
    }
}

net::task<> recovery_fleet::restart_often(recovery_engine& engine) {
    for (int i = 0; i < engine_crashes; ++i) {
        co_await wait(milliseconds(20 + m_random.below(200)));
        engine.stop();
        co_await wait(milliseconds(300 + m_random.below(900)));
        engine.start();
        engine.born = static_cast<std::uint64_t>(wall_clock_ms());
        write_entry(engine);
    }
}

int recovery_fleet::engine_load() const {
    int sum = 0;
    for (const auto& each : m_engines) {
        sum += each->is_running() ? each->load() : 0;
    }
    return sum;
}

int recovery_fleet::engine_runs() const {
    int sum = 0;
    for (const auto& each : m_engines) {
        sum += each->runs();
    }
    return sum;
}

int recovery_fleet::restart_ended() {
    int ended = 0;
    for (const auto& each : m_hosts) {
        if (!each->is_down && !each->is_gone && !each->daemon->is_running()) {
            ++ended;
            each->daemon->start(false);
        }
    }
    return ended;
}

} // namespace eelgrassdoor::test
