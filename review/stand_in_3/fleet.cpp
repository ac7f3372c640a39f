#include "fleet.hpp"

#include "base/text.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::review {

namespace {

constexpr const char* program = "target/platform/eelgrassdoor_platform";
constexpr duration ready_timeout = seconds(20);
const std::vector<std::string> zones{"a", "b", "c", "d"};

} // namespace

fleet::fleet(net::asio::io_context& loop, fleet_options options, const std::string& record_file)
    : m_loop(loop), m_options(options), m_record(std::fopen(record_file.c_str(), "w")),
      m_started_at(steady_clock()()),
      m_folder(str_cat(std::filesystem::temp_directory_path().string(), "/review-3-", ::getpid())),
      m_network(str_cat("127.", 20 + ::getpid() % 200, ".", 1 + ::getpid() / 200 % 250, ".")),
      m_first_port(20'000 + ::getpid() % 10'000),
      m_store_endpoint(str_cat(m_network, "200:", m_first_port)),
      m_store(loop.get_executor(), m_store_endpoint) {
    std::filesystem::create_directories(m_folder);
    const auto count = static_cast<std::size_t>(m_options.zones);
    std::vector<std::string> seeds;
    for (int i = 0; i < m_options.entry_hosts + m_options.job_hosts; ++i) {
        const bool is_entry = i < m_options.entry_hosts;
        const std::string& zone =
            zones[static_cast<std::size_t>(is_entry ? i : i - m_options.entry_hosts) % count];
        test::daemon_spec spec{.host = str_cat(is_entry ? "edge-" : "storage-", zone, "-", i + 1),
                               .availability_zone = zone,
                               .address = str_cat(m_network, i + 1),
                               .first_port = m_first_port,
                               .serves_callers = is_entry,
                               .store = m_store_endpoint,
                               .seeds = seeds,
                               .memory_mb =
                                   is_entry ? m_options.entry_memory_mb : m_options.job_memory_mb,
                               .max_files = is_entry ? 4100 : 8200};
        auto daemon = std::make_unique<test::daemon_process>(std::move(spec), program, m_folder);
        if (seeds.size() < 3 && is_entry) {
            seeds.push_back(daemon->control_endpoint());
        }
        (is_entry ? m_entries : m_runners).push_back(std::move(daemon));
    }
    for (int i = 0; i < m_options.engines; ++i) {
        const auto index = static_cast<std::size_t>(i);
        engine::options settings{
            .id = str_cat("i-", i + 1),
            .endpoint = str_cat(m_network, 100 + i, ":", m_first_port),
            .zone = zones[index % count],
            .service = m_options.services[index % m_options.services.size()],
            .stream_events = m_options.stream_events,
            .version = m_options.versions[index % m_options.versions.size()],
            .padding = std::string(m_options.event_padding, '.'),
            .crashing_part = m_options.crashing_part,
            .on_restart = [this](const engine& each) { register_engine(each); }};
        if (settings.service == "s") {
            settings.events = m_options.item_events;
            settings.event_interval = m_options.event_interval;
        }
        m_engines.push_back(std::make_unique<engine>(
            loop.get_executor(), settings, [this](const std::string& text) { record(text); }));
    }
}

fleet::~fleet() {
    for (auto* all : {&m_entries, &m_runners}) {
        for (const auto& each : *all) {
            each->kill();
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::printf("logs in %s\n", m_folder.c_str());
    }
    std::fclose(m_record);
}

void fleet::record(const std::string& text) {
    std::fprintf(m_record, "%7lld %s\n",
                 static_cast<long long>(to_ms(steady_clock()() - m_started_at)), text.c_str());
    std::fflush(m_record);
}

net::task<> fleet::wait(duration time) {
    co_await net::sleep_for(time);
}

void fleet::spawn(net::task<> work) {
    net::asio::co_spawn(m_loop, std::move(work), net::asio::detached);
}

void fleet::write_configuration() {
    m_version += 7;
    const std::string common = R"("host":"h","public":false,"sessionAffinity":true,"priority":0,)";
    const std::string batch = str_cat(
        common, R"("kind":"batch","timeoutMs":15000,"targetLatencyMs":400,)",
        R"("completionTargetMs":18000,"queueTtlS":60,"maxAttempts":3,"cap":)", m_options.cap, "}");
    const bool has_second = std::find(m_options.services.begin(), m_options.services.end(), "s2") !=
                            m_options.services.end();
    m_store.memory().put(
        "op/config",
        str_cat(R"({"version":)", m_version, R"(,"routes":[{"name":"q","pathPrefix":"/q/",)",
                m_online_services, ",", common,
                R"("kind":"streaming","resumable":true,"timeoutMs":5000,"targetLatencyMs":300,)",
                R"("gapAimMs":250,"maxAttempts":2},)",
                R"({"name":"j","pathPrefix":"/j/","service":"s",)", batch,
                has_second ? str_cat(R"(,{"name":"k","pathPrefix":"/k/","service":"s2",)", batch)
                           : std::string(),
                R"(],"services":[{"name":"s","healthPath":"/health","maxConnections":370})",
                has_second ? R"(,{"name":"s2","healthPath":"/health","maxConnections":370})" : "",
                R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)",
                R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[)",
                R"({"name":"t0","apiKeys":["key-0"],"ratePerS":1000,"burst":1000},)",
                R"({"name":"t1","apiKeys":["key-1"],"ratePerS":1000,"burst":1000}]})"));
}

void fleet::split_route(int first, int second) {
    m_online_services = str_cat(R"("weightedServices":[{"service":"s","weight":)", first,
                                R"(},{"service":"s2","weight":)", second, "}]");
    write_configuration();
}

std::size_t fleet::registered_runners() {
    std::size_t count = 0;
    for (const auto& [key, item] : m_store.memory().items()) {
        const bool is_member = contains(item.value, "\"incarnation\"");
        count += is_member && contains(key, "storage-") ? 1 : 0;
    }
    return count;
}

void fleet::register_engine(const engine& each) {
    m_store.memory().put(str_cat("servers/", each.id()), each.entry());
}

net::task<bool> fleet::is_ready(test::daemon_process& host) {
    net::http_client client(m_loop.get_executor());
    net::http_request request;
    request.method = "GET";
    request.target = "/eelgrassdoor/ready";
    request.headers.set("Host", host.readiness_endpoint());
    const auto response = co_await client.call(host.readiness_endpoint(), std::move(request),
                                               steady_clock()() + seconds(1));
    co_return response&& response.value().status == 200;
}

net::task<bool> fleet::start() {
    const bool listens = m_store.start();
    if (!listens) {
        co_return false;
    }
    write_configuration();
    for (const auto& each : m_engines) {
        if (!each->start()) {
            co_return false;
        }
        register_engine(*each);
    }
    for (auto* all : {&m_entries, &m_runners}) {
        for (const auto& each : *all) {
            each->start(true);
        }
    }
    const time_point end = steady_clock()() + ready_timeout;
    for (const auto& each : m_entries) {
        bool ready = co_await is_ready(*each);
        while (!ready && steady_clock()() < end) {
            co_await wait(milliseconds(100));
            ready = co_await is_ready(*each);
        }
        if (!ready) {
            co_return false;
        }
    }
    // Traffic starts ten seconds after the machines do.
    co_await wait(seconds(10) - (steady_clock()() - m_started_at));
    record("the fleet is up");
    co_return registered_runners() == m_runners.size();
}

net::http_request fleet::request(std::string method, std::string target, std::string attempt,
                                 std::string body) {
    net::http_request out;
    out.method = std::move(method);
    out.target = std::move(target);
    out.body = std::move(body);
    out.headers.set("Host", "h");
    out.headers.set("Attempt-Id", attempt);
    out.headers.set("Credential", "key-0");
    if (!out.body.empty()) {
        out.headers.set("Content-Type", "application/json");
    }
    return out;
}

net::task<reply> fleet::call(std::size_t entry_host, net::http_request request, duration timeout) {
    net::http_client client(m_loop.get_executor(),
                            {.connect_timeout = seconds(1), .max_idle_connections = 0});
    result<net::http_response> response = co_await client.call(
        m_entries[entry_host]->caller_endpoint(), std::move(request), steady_clock()() + timeout);
    reply out;
    if (response) {
        out.status = response.value().status;
        out.body = std::move(response.value().body);
        out.headers = response.value().headers;
    }
    co_return out;
}

bool fleet::has_run(const std::string& attempt) const {
    return std::any_of(m_engines.begin(), m_engines.end(),
                       [&](const auto& each) { return each->has_run(attempt); });
}

double fleet::memory_mb(pid_t process, std::string_view field) {
    std::ifstream status(str_cat("/proc/", process, "/status"));
    std::string word;
    while (status >> word) {
        if (word == field) {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

net::task<> fleet::enforce_memory(test::daemon_process& host) {
    for (;;) {
        const double resident = host.pid() > 0 ? memory_mb(host.pid()) : 0;
        if (resident > host.spec().memory_mb) {
            const int count = ++m_ends[host.spec().host];
            record(str_cat(host.spec().host, " has ", resident, " MB of ", host.spec().memory_mb,
                           ": the platform ends it, time ", count));
            host.kill();
            co_await wait(milliseconds(500));
            host.start(false);
            record(str_cat(host.spec().host, " starts again"));
        }
        co_await wait(milliseconds(2));
    }
}

int fleet::ends_by_memory(const test::daemon_process& host) const {
    const auto found = m_ends.find(host.spec().host);
    return found == m_ends.end() ? 0 : found->second;
}

bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

void run_case(int argc, char** argv, fleet_options options,
              const std::function<net::task<int>(fleet&)>& body) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD-FILE\n", argv[0]);
        std::_Exit(could_not_run);
    }
    int status = could_not_run;
    {
        net::asio::io_context loop{1};
        auto all = std::make_unique<fleet>(loop, options, argv[1]);
        const auto run = [&]() -> net::task<> {
            const bool is_up = co_await all->start();
            if (is_up) {
                status = co_await body(*all);
            } else {
                all->record("the fleet did not start");
            }
            all->record(str_cat("exit status ", status));
        };
        net::asio::co_spawn(loop, run(), [&](const std::exception_ptr& failure) {
            status = failure ? could_not_run : status;
            loop.stop();
        });
        loop.run();
        // Ends the daemons; suspended coroutines still refer to the rest.
        for (auto* each : {&all->entries(), &all->runners()}) {
            for (const auto& daemon : *each) {
                daemon->kill();
            }
        }
        all.reset();
        std::fflush(stdout);
        std::_Exit(status);
    }
}

} // namespace eelgrassdoor::review
