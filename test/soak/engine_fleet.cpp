#include "soak/engine_fleet.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr std::size_t engine_count = 4;
/// Time between two engines of a release, how long an engine serves after it has reported that it
/// drains, and how long its entry stays.
constexpr duration release_interval = milliseconds(700);
constexpr duration drain_time = seconds(2);
/// From a proxy's port to that of its engine.
constexpr int proxied_port_offset = 1000;
constexpr std::size_t engines_per_port = 90;
constexpr int first_address = 100;
constexpr duration start_timeout = seconds(10);
constexpr duration poll_interval = milliseconds(5);

std::uint64_t unix_time_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

engine_fleet::engine_fleet(net::asio::any_io_executor executor, memory_store& store,
                           options options)
    : m_executor(std::move(executor)), m_store(store), m_options(std::move(options)),
      m_random(m_options.seed), m_requests(request_log_path()) {}

net::task<> engine_fleet::wait(duration time) {
    net::notification timer(m_executor);
    co_await timer.wait_until(steady_clock()() + time);
}

std::vector<engine_fleet::engine*> engine_fleet::current() const {
    std::vector<engine*> out;
    for (std::size_t i = m_engines.size() - engine_count; i < m_engines.size(); ++i) {
        out.push_back(m_engines[i].get());
    }
    return out;
}

void engine_fleet::write_entry(const engine& engine, const std::string& state) {
    m_store.put(str_cat("servers/", engine.id),
                str_cat(R"({"service":"s","address":")", engine.endpoint, R"(","zone":")",
                        engine.availability_zone, R"(","version":")", engine.version,
                        R"(","slots":16,"state":")", state,
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
                                 .trouble = trouble};
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
    added.id = str_cat("i-", number + 1);
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
    for (std::size_t i = 0; i < engine_count; ++i) {
        std::string zone = i % 2 == 0 ? "a" : "b";
        co_await add(std::move(zone));
    }
}

net::task<> engine_fleet::release() {
    if (m_releasing) {
        co_return;
    }
    m_releasing = true;
    ++m_version;
    const std::vector<engine*> replaced = current();
    for (engine* each : replaced) {
        std::string zone = each->availability_zone;
        co_await add(std::move(zone));
        co_await wait(release_interval / 2);
        write_entry(*each, "draining");
        co_await wait(release_interval / 2);
    }
    co_await wait(drain_time);
    for (const engine* each : replaced) {
        m_store.erase(str_cat("servers/", each->id));
    }
    m_releasing = false;
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
