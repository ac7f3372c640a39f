#include "soak/engine_fleet.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace eelgrassdoor::test {

namespace {

/// Time between two engines of a release, how long an engine serves after it has reported that it
/// drains, and how long its entry stays.
constexpr duration release_interval = milliseconds(700);
constexpr duration drain_time = seconds(2);
/// From a proxy's port to that of its engine.
constexpr int proxied_port_offset = 1000;
constexpr std::size_t engines_per_port = 90;
constexpr int first_address = 100;
/// How much longer than drain_time an engine may serve.
constexpr duration longest_linger = milliseconds(300);
/// Time between the end of an engine and its next start.
constexpr duration shortest_restart = milliseconds(50);
constexpr duration longest_restart = milliseconds(300);
/// How much later its entry may change.
constexpr duration longest_entry_delay = milliseconds(1200);
/// How long the entry of an absent engine stays, and then how long it may be absent.
constexpr duration entry_expiry = milliseconds(1500);
constexpr duration longest_absence = seconds(4);
/// In a release one engine in this many keeps its version.
constexpr std::uint64_t kept_version_interval = 4;
/// One release in place in this many restarts all engines at once.
constexpr std::uint64_t sudden_release_interval = 3;
constexpr duration start_timeout = seconds(10);
constexpr duration poll_interval = milliseconds(5);

const char* kind_name(restart_kind kind) {
    return kind == restart_kind::planned  ? "planned"
           : kind == restart_kind::killed ? "killed"
                                          : "absent";
}

std::uint64_t unix_time_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

engine_fleet::engine_fleet(net::asio::any_io_executor executor, memory_store& store,
                           options options)
    : m_executor(std::move(executor)), m_store(store), m_options(std::move(options)),
      m_random(m_options.seed), m_requests(request_log_path()), m_version(m_options.first_version) {
}

net::task<> engine_fleet::wait(duration time) {
    net::notification timer(m_executor);
    co_await timer.wait_until(steady_clock()() + time);
}

std::vector<engine_fleet::engine*> engine_fleet::current() const {
    std::vector<engine*> out;
    for (std::size_t i = m_engines.size() - m_options.engine_count; i < m_engines.size(); ++i) {
        out.push_back(m_engines[i].get());
    }
    return out;
}

void engine_fleet::write_entry(const engine& engine, const std::string& state) {
    m_store.put(str_cat("servers/", engine.id),
                str_cat(R"({"service":")", m_options.service, R"(","address":")", engine.endpoint,
                        R"(","zone":")", engine.availability_zone, R"(","version":")",
                        engine.version, R"(","slots":16,"state":")", state,
                        R"(","coldRemainingMs":0,"seq":1,"born":)", engine.started_at, "}"));
}

net::task<> engine_fleet::start(engine& engine) {
    engine.started_at = unix_time_ms();
    const bool trouble = m_trouble;
    const engine_options options{.id = engine.id,
                                 .version = engine.version,
                                 .endpoint = engine.own_endpoint,
                                 .request_log = request_log_path(),
                                 .started_at = engine.started_at,
                                 .seed = m_random.next(),
                                 .trouble = trouble,
                                 .behaviour = m_behaviour};
    engine.process.start({.program = m_options.program,
                          .arguments = make_arguments(options),
                          .log = m_options.folder + "/engines.log"});
    const time_point end = steady_clock()() + start_timeout;
    while (!engine.is_up && steady_clock()() < end) {
        co_await wait(poll_interval);
        const std::string endpoint = engine.own_endpoint;
        const auto connection = co_await net::http_client::connect(m_executor, endpoint, end);
        engine.is_up = connection.has_value();
    }
    require(engine.is_up, str_cat(engine.id, " listens"));
    if (engine.is_up && trouble != m_trouble) {
        engine.process.signal(m_trouble ? begin_trouble_signal : end_trouble_signal);
    }
}

net::task<> engine_fleet::add(std::string zone) {
    m_engines.push_back(std::make_unique<engine>());
    engine& added = *m_engines.back();
    const std::size_t number = m_engines.size() - 1;
    const std::string address =
        str_cat(m_options.network, first_address + number % engines_per_port, ":");
    const std::size_t port = m_options.first_port + number / engines_per_port;
    added.id = str_cat(m_options.id_prefix, number + 1);
    added.version = str_cat("v", m_version);
    added.availability_zone = std::move(zone);
    added.endpoint = str_cat(address, port);
    added.own_endpoint =
        m_cut != nullptr ? str_cat(address, port + proxied_port_offset) : added.endpoint;
    if (m_cut != nullptr) {
        require(m_cut->add_proxy(added.endpoint, added.own_endpoint), "the engine's proxy listens");
    }
    co_await start(added);
    write_entry(added, "ready");
}

net::task<> engine_fleet::start() {
    for (std::size_t i = 0; i < m_options.engine_count; ++i) {
        std::string zone = i % 2 == 0 ? "a" : "b";
        co_await add(std::move(zone));
    }
}

net::task<> engine_fleet::release() {
    if (m_releasing) {
        co_return;
    }
    m_releasing = true;
    m_replacing = true;
    co_await wait_for_restarts();
    ++m_version;
    const std::vector<engine*> replaced = current();
    for (engine* each : replaced) {
        std::string zone = each->availability_zone;
        co_await add(std::move(zone));
        co_await wait(release_interval / 2);
        write_entry(*each, "draining");
        if (m_ends_replaced) {
            each->process.signal(leave_signal);
        }
        co_await wait(release_interval / 2);
    }
    co_await wait(drain_time);
    for (engine* each : replaced) {
        end(*each);
        m_store.erase(str_cat("servers/", each->id));
    }
    m_replacing = false;
    m_releasing = false;
}

void engine_fleet::end(engine& engine) {
    if (m_ends_replaced) {
        engine.is_up = false;
        engine.process.kill();
    }
}

net::task<> engine_fleet::wait_for_restarts() {
    const auto is_restarting = [](const engine* each) { return each->is_restarting; };
    for (;;) {
        const std::vector<engine*> engines = current();
        if (std::none_of(engines.begin(), engines.end(), is_restarting)) {
            co_return;
        }
        co_await wait(poll_interval);
    }
}

net::task<> engine_fleet::wait_up_to(duration longest) {
    const duration time = milliseconds(m_random.below(to_ms(longest)));
    co_await wait(time);
}

net::task<> engine_fleet::restart(engine& engine, restart_kind kind, std::string version) {
    engine.is_restarting = true;
    std::printf("           %s (%s) ends, %s, for %s\n", engine.id.c_str(), engine.version.c_str(),
                kind_name(kind), version.c_str());
    if (kind == restart_kind::planned) {
        write_entry(engine, "draining");
        engine.process.signal(leave_signal);
        co_await wait(drain_time);
        co_await wait_up_to(longest_linger);
    }
    end(engine);
    if (kind == restart_kind::absent) {
        co_await wait(entry_expiry);
        m_store.erase(str_cat("servers/", engine.id));
        co_await wait_up_to(longest_absence);
    }
    co_await wait(shortest_restart);
    co_await wait_up_to(longest_restart - shortest_restart);
    engine.version = std::move(version);
    co_await start(engine);
    co_await wait_up_to(longest_entry_delay);
    write_entry(engine, "ready");
    engine.is_restarting = false;
}

net::task<> engine_fleet::release_in_place(restart_kind kind) {
    if (m_releasing) {
        co_return;
    }
    m_releasing = true;
    ++m_version;
    const bool sudden = m_random.below(sudden_release_interval) == 0;
    for (engine* each : current()) {
        const bool keeps_version = m_random.below(kept_version_interval) == 0;
        std::string version = keeps_version ? each->version : str_cat("v", m_version);
        if (!each->is_restarting) {
            net::asio::co_spawn(m_executor, restart(*each, kind, std::move(version)),
                                net::asio::detached);
        }
        co_await wait(sudden ? duration() : release_interval);
    }
    co_await wait_for_restarts();
    m_releasing = false;
}

net::task<> engine_fleet::restart_one(restart_kind kind) {
    engine* const one = current()[m_random.below(m_options.engine_count)];
    if (m_replacing || one->is_restarting) {
        co_return;
    }
    const bool keeps_version = m_random.below(2) == 0;
    std::string version = keeps_version ? one->version : str_cat("v", ++m_version);
    co_await restart(*one, kind, std::move(version));
}

net::task<> engine_fleet::replace() {
    const std::vector<engine*> replaced = current();
    for (const engine* each : replaced) {
        m_store.erase(str_cat("servers/", each->id));
    }
    for (const engine* each : replaced) {
        std::string zone = each->availability_zone;
        co_await add(std::move(zone));
    }
}

void engine_fleet::end_all() {
    for (const auto& each : m_engines) {
        m_store.erase(str_cat("servers/", each->id));
        each->is_up = false;
        each->process.kill();
    }
}

void engine_fleet::set_trouble(bool trouble) {
    m_trouble = trouble;
    for (const auto& each : m_engines) {
        if (each->is_up) {
            each->process.signal(trouble ? begin_trouble_signal : end_trouble_signal);
        }
    }
}

int engine_fleet::ended() {
    return static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& each) {
        return each->is_up && !each->process.is_running();
    }));
}

} // namespace eelgrassdoor::test
