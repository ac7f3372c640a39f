#include "soak/soak_fleet.hpp"

#include "base/text.hpp"
#include "check.hpp"
#include "net/http_client.hpp"
#include "net/notification.hpp"
#include "soak/datagram_filter.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

constexpr duration ready_timeout = seconds(15);
constexpr duration poll_interval = milliseconds(50);
/// The platform's grace between SIGTERM and SIGKILL.
constexpr duration stop_grace = seconds(8);
/// How long a disturbance of a daemon may have effects.
constexpr duration contact_time = seconds(3);
/// From the store's port to that of its proxy, and to those of other services' engines.
constexpr int store_proxy_port_offset = 1;
constexpr int service_port_offset = 10;
constexpr std::size_t engines_per_service = 2;

/// A configuration whose timeouts and limits depend on its number.
std::string make_configuration(int number, const std::vector<std::string>& services) {
    const std::string timeout = number % 2 == 0 ? "5000" : "4700";
    const std::string idle = number % 3 == 0 ? "15000" : "9000";
    const std::string body = number % 4 < 2 ? "4194304" : "2097152";
    const std::string common =
        str_cat(R"("host":"h","timeoutMs":)", timeout, R"(,"public":false,"service":")");
    const std::string stream =
        R"(,"kind":"streaming","gapAimMs":250,"targetLatencyMs":300,"priority":0,"maxAttempts":3)";
    std::string service_routes;
    std::string service_entries;
    for (const std::string& each : services) {
        str_append(service_routes, R"(,{"name":")", each, R"(",)", common, each,
                   R"(","pathPrefix":"/)", each, R"(/","resumable":true)", stream, "}");
        str_append(service_entries, R"(,{"name":")", each,
                   R"(","healthPath":"/health","maxConnections":370})");
    }
    return str_cat(
        R"({"version":)", 10 + 3 * number, R"(,"routes":[{"name":"question",)", common,
        R"(s","pathPrefix":"/p/","resumable":true)", stream, R"(},{"name":"plain",)", common,
        R"(s","pathPrefix":"/s/","kind":"safe","targetLatencyMs":3000,"priority":0,)",
        R"("maxAttempts":2},{"name":"once",)", common,
        R"(s","pathPrefix":"/u/","kind":"unsafe","targetLatencyMs":3000,"priority":0,)",
        R"("maxAttempts":3},{"name":"once-stream",)", common,
        R"(s","pathPrefix":"/q/","resumable":false)", stream, R"(},{"name":"jobs",)", common,
        R"(s","pathPrefix":"/j/","kind":"batch","targetLatencyMs":400,"completionTargetMs":18000,)",
        R"("queueTtlS":120,"maxAttempts":3,"cap":0,"priority":1})", service_routes,
        R"(],"services":[{"name":"s","healthPath":"/health","maxConnections":370})",
        service_entries, R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)", body,
        R"(,"headerTimeoutMs":3000,"idleTimeoutMs":)", idle,
        R"(},"tenants":[{"name":"c","apiKeys":["key-1"],"ratePerS":1000,"burst":1000}]})");
}

/// Path of a program in the folder of this one.
std::string program_beside(const std::string& name) {
    return std::filesystem::read_symlink("/proc/self/exe").replace_filename(name).string();
}

} // namespace

soak_fleet::soak_fleet(net::asio::io_context& loop, random_source& random, std::string program,
                       std::string folder, bool cuts_store)
    : m_loop(loop), m_random(random), m_program(std::move(program)), m_folder(std::move(folder)),
      // Soaks that run side by side use different addresses.
      m_network(str_cat("127.", 20 + ::getpid() % 200, ".", 1 + ::getpid() / 200 % 250, ".")),
      // Below the ports that the kernel gives to outgoing connections.
      m_first_port(static_cast<int>(20'000 + random.next() % 10'000)),
      m_store_endpoint(str_cat(m_network, "200:", m_first_port)),
      m_own_store_endpoint(cuts_store
                               ? str_cat(m_network, "200:", m_first_port + store_proxy_port_offset)
                               : m_store_endpoint),
      m_store(loop.get_executor(), m_own_store_endpoint),
      m_store_cut(cuts_store ? std::make_unique<engine_cut>(loop.get_executor()) : nullptr),
      m_engines(loop.get_executor(), m_store.memory(), engine_options()) {
    for (const std::string zone : {"a", "b"}) {
        for (int i = 1; i <= 2; ++i) {
            add_daemon(str_cat("entry-", zone, "-", i), zone, true);
        }
    }
    for (const std::string zone : {"a", "b"}) {
        add_daemon(str_cat("jobs-", zone), zone, false);
    }
}

engine_fleet::options soak_fleet::engine_options() {
    return {.program = program_beside("soak_engine"),
            .folder = m_folder,
            .network = m_network,
            .first_port = m_first_port,
            .seed = m_random.next()};
}

std::unique_ptr<engine_fleet> soak_fleet::add_service(const std::string& name, int first_version) {
    engine_fleet::options options = engine_options();
    m_services.push_back(name);
    options.first_port += service_port_offset + static_cast<int>(m_services.size());
    options.service = name;
    options.id_prefix = name + "-";
    options.engine_count = engines_per_service;
    options.first_version = first_version;
    change_configuration();
    return std::make_unique<engine_fleet>(m_loop.get_executor(), m_store.memory(),
                                          std::move(options));
}

void soak_fleet::add_daemon(const std::string& host, const std::string& zone, bool serves_callers) {
    daemon_spec spec{.host = host,
                     .availability_zone = zone,
                     .address = str_cat(m_network, m_daemons.size() + 1),
                     .first_port = m_first_port,
                     .serves_callers = serves_callers,
                     .store = m_store_endpoint,
                     .seeds = m_seeds};
    m_daemons.push_back(std::make_unique<daemon_process>(std::move(spec), m_program, m_folder));
    if (m_seeds.size() < 3) {
        m_seeds.push_back(m_daemons.back()->control_endpoint());
    }
}

void soak_fleet::enable_cuts() {
    m_cut = std::make_unique<engine_cut>(m_loop.get_executor());
    m_engines.set_cut(*m_cut);
}

void soak_fleet::change_configuration() {
    m_store.memory().put("op/config", make_configuration(m_configuration++, m_services));
}

bool soak_fleet::was_disturbed(const daemon_process& daemon, time_point time) const {
    const bool is_down = std::find(m_down.begin(), m_down.end(), &daemon) != m_down.end();
    const auto found = m_disturbed.find(&daemon);
    return is_down || (found != m_disturbed.end() && found->second + contact_time >= time);
}

bool soak_fleet::was_cut(const daemon_process& daemon, time_point time) const {
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const cut_window& each) {
        return each.begins_at <= time && time < each.ends_at &&
               std::find(each.hosts.begin(), each.hosts.end(), &daemon) != each.hosts.end();
    });
}

bool soak_fleet::can_serve(const daemon_process& daemon, time_point time) const {
    const std::vector<daemon_process*> hosts = entry_hosts();
    return !was_disturbed(daemon, time) && m_store_disturbed + contact_time < time &&
           std::any_of(hosts.begin(), hosts.end(), [&](const daemon_process* each) {
               return !was_disturbed(*each, time) && !was_cut(*each, time);
           });
}

net::task<> soak_fleet::cut(std::vector<daemon_process*> hosts, cut_mode mode, duration time) {
    m_cut->begin(hosts, mode);
    const std::size_t number = m_cuts.size();
    m_cuts.push_back({.hosts = hosts, .mode = mode, .begins_at = steady_clock()()});
    co_await wait(time);
    m_cuts[number].ends_at = steady_clock()();
    m_cut->end();
}

net::task<bool> soak_fleet::start() {
    const bool listens =
        m_store.start() &&
        (!m_store_cut || m_store_cut->add_proxy(m_store_endpoint, m_own_store_endpoint));
    if (!listens) {
        co_return false;
    }
    change_configuration();
    co_await m_engines.start();
    for (const auto& each : m_daemons) {
        each->start(true);
    }
    const time_point end = steady_clock()() + ready_timeout;
    for (const daemon_process* each : entry_hosts()) {
        bool ready = false;
        while (!ready && steady_clock()() < end) {
            ready = co_await is_ready(each->readiness_endpoint());
            co_await wait(poll_interval);
        }
        if (!ready) {
            co_return false;
        }
    }
    co_return true;
}

net::task<bool> soak_fleet::is_ready(std::string endpoint) {
    net::http_client client(m_loop.get_executor());
    net::http_request request;
    request.method = "GET";
    request.target = "/eelgrassdoor/ready";
    request.headers.set("Host", endpoint);
    const auto response =
        co_await client.call(endpoint, std::move(request), steady_clock()() + seconds(1));
    co_return response&& response.value().status == 200;
}

net::task<> soak_fleet::wait(duration time) {
    net::notification timer(m_loop.get_executor());
    co_await timer.wait_until(steady_clock()() + time);
}

std::vector<daemon_process*> soak_fleet::select(bool serves_callers) const {
    std::vector<daemon_process*> out;
    for (const auto& each : m_daemons) {
        if (each->spec().serves_callers == serves_callers) {
            out.push_back(each.get());
        }
    }
    return out;
}

std::vector<daemon_process*> soak_fleet::all_hosts() const {
    std::vector<daemon_process*> out;
    for (const auto& each : m_daemons) {
        out.push_back(each.get());
    }
    return out;
}

net::task<> soak_fleet::restart(daemon_process& daemon) {
    m_down.push_back(&daemon);
    mark_disturbed(daemon);
    daemon.signal(SIGTERM);
    const time_point end = steady_clock()() + stop_grace;
    while (daemon.is_running() && steady_clock()() < end) {
        co_await wait(poll_interval);
    }
    daemon.kill();
    co_await wait(milliseconds(300));
    std::erase(m_down, &daemon);
    mark_disturbed(daemon);
    daemon.start(false);
}

net::task<> soak_fleet::kill_all(std::vector<daemon_process*> daemons, duration pause) {
    for (daemon_process* each : daemons) {
        m_down.push_back(each);
        mark_disturbed(*each);
        each->kill();
    }
    co_await wait(pause);
    for (daemon_process* each : daemons) {
        std::erase(m_down, each);
        mark_disturbed(*each);
        each->start(false);
    }
}

net::task<> soak_fleet::freeze(daemon_process& daemon, duration pause) {
    mark_disturbed(daemon);
    daemon.signal(SIGSTOP);
    co_await wait(pause);
    daemon.signal(SIGCONT);
    mark_disturbed(daemon);
}

net::task<> soak_fleet::cut_store(daemon_process& daemon, duration time) {
    mark_disturbed(daemon);
    m_store_cut->begin({&daemon}, cut_mode::hang);
    co_await wait(time);
    m_store_cut->end();
    mark_disturbed(daemon);
}

net::task<> soak_fleet::disturb_store(store_state state, duration time) {
    m_store.set_state(state);
    m_store_disturbed = time_point::max() - contact_time;
    co_await wait(time);
    m_store.set_state(store_state::sound);
    m_store_disturbed = steady_clock()();
}

net::task<> soak_fleet::cut_peers(daemon_process& daemon, duration time) {
    mark_disturbed(daemon);
    const auto address = net::asio::ip::make_address_v4(daemon.spec().address);
    for (const auto& each : m_daemons) {
        const bool is_other = each.get() != &daemon;
        const bool drops =
            drop_datagrams(each->pid(), is_other ? std::optional(address) : std::nullopt);
        require(drops, str_cat("datagrams to ", each->spec().host, " are dropped"));
    }
    co_await wait(time);
    for (const auto& each : m_daemons) {
        const bool passes = pass_datagrams(each->pid());
        require(passes, str_cat("datagrams to ", each->spec().host, " arrive again"));
    }
    mark_disturbed(daemon);
}

int soak_fleet::restart_ended() {
    int ended = 0;
    for (const auto& each : m_daemons) {
        const bool is_down = std::find(m_down.begin(), m_down.end(), each.get()) != m_down.end();
        if (!is_down && !each->is_running()) {
            ++ended;
            each->start(false);
        }
    }
    return ended;
}

} // namespace eelgrassdoor::test
