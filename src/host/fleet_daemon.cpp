#include "host/fleet_daemon.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::host {

namespace {

/// How often logs are handed over and slow conditions are looked at.
constexpr duration tick_interval = milliseconds(250);
/// The settings file is looked at every so many ticks, as it may change without a signal.
constexpr int reload_ticks = 8;
/// After SIGTERM callers still arrive until the balancer has missed two answers, a second apart.
constexpr duration leave_rotation_time = milliseconds(3500);
/// What is left of the grace period for the last steps.
constexpr duration shutdown_margin = milliseconds(700);
/// A delegate that was not heard for this long is not relied on: three lost digests in a row, and
/// within the time in which changes must be in force.
constexpr duration delegate_silence = milliseconds(1300);
/// Registrations that come one after the other are fetched together.
constexpr duration member_gather_time = milliseconds(500);
/// Targets come and go in groups. A tenth of the shortest time in which a leaving one must be
/// known.
constexpr duration target_gather_time = milliseconds(200);
/// A sixth of the time in which an ended job must stop. Its owner mostly hears of it at once.
constexpr duration ended_gather_time = milliseconds(500);
/// Entry hosts own nothing that another daemon would take over, so they renew seldom.
constexpr duration entry_ttl = seconds(8);
constexpr duration entry_renew_interval = milliseconds(2500);
/// Descriptors that are not for callers: files, the store, other daemons.
constexpr std::size_t reserved_descriptors = 300;
/// What one caller may need besides its own connection: one to a target.
constexpr std::size_t descriptors_per_caller = 2;

std::vector<std::string> mirrored_prefixes(const host_adapter& adapter, bool runs_jobs) {
    std::vector<std::string> prefixes{adapter.operator_prefix, adapter.target_prefix,
                                      std::string(fleet::member_prefix)};
    if (runs_jobs) {
        prefixes.emplace_back(jobs::ended_prefix);
    }
    return prefixes;
}

} // namespace

fleet_host::fleet_host(net::asio::io_context& loop, host_settings settings, host_adapter& adapter,
                       observe::decision_log& log)
    : m_loop(loop), m_settings(std::move(settings)), m_adapter(adapter), m_log(log),
      m_incarnation(static_cast<std::uint64_t>(wall_clock_ms())), m_random(secure_number()),
      m_loads({.own_zone = m_settings.availability_zone}), m_shares(m_settings.first_start),
      m_mirror(mirrored_prefixes(adapter, m_settings.runs_jobs)),
      m_feed(loop.get_executor(), adapter.store, m_mirror, m_clock, log),
      m_link(loop.get_executor(),
             {.self = self(), .seeds = m_settings.seeds, .is_cut_off = m_settings.is_cut_off},
             m_clock, log, m_loads, m_mirror, m_shares),
      m_registration(loop.get_executor(), adapter.store, m_mirror, registration_settings(), m_clock,
                     boot_clock(), log),
      m_targets(adapter.decode_target, log), m_context{.executor = loop.get_executor(),
                                                       .clock = m_clock,
                                                       .random = m_random,
                                                       .log = log,
                                                       .numbers = m_numbers,
                                                       .loads = m_loads,
                                                       .link = m_link,
                                                       .wire = adapter.wire,
                                                       .plan = nullptr},
      m_repository(adapter.store, m_clock, log),
      m_runner(m_settings.runs_jobs
                   ? std::make_unique<jobs::job_runner>(
                         m_context, m_repository,
                         jobs::runner_options{
                             .self = self(),
                             .registration_valid = [this] { return m_registration.valid(); },
                             .registration_number = [this] { return m_registration.number(); },
                             .store_connected_since = [this] { return m_feed.connected_since(); },
                             .wall_clock = wall_clock_ms})
                   : nullptr),
      m_job_front(m_context, m_repository, {.is_cut_off = m_settings.is_cut_off}),
      m_front(m_context, m_job_front),
      m_evacuation(m_context.executor, m_settings.host, adapter, log),
      m_peer_api(m_context, m_mirror, m_runner.get(), m_job_front) {}

fleet_host::~fleet_host() = default;

fleet::registration_options fleet_host::registration_settings() const {
    fleet::registration_options options{.self = self()};
    if (!m_settings.runs_jobs) {
        options.ttl = entry_ttl;
        options.renew_interval = entry_renew_interval;
        options.longest_retry_pause = entry_renew_interval;
    }
    return options;
}

fleet::member fleet_host::self() const {
    return {.host = m_settings.host,
            .availability_zone = m_settings.availability_zone,
            .endpoint = m_settings.peer_endpoint,
            .incarnation = m_incarnation,
            .serves_callers = m_settings.serves_callers,
            .runs_jobs = m_settings.runs_jobs};
}

bool fleet_host::ready() const {
    return !m_shutting_down && m_context.plan && m_mirror.revision(m_adapter.target_prefix) > 0;
}

void fleet_host::open_servers() {
    const auto make = [this](const std::string& endpoint, net::request_handler handler,
                             std::function<net::caller_limits()> limits,
                             std::size_t max_connections) {
        return std::make_unique<net::http_server>(
            m_context.executor,
            net::http_server_options{.endpoint = endpoint,
                                     .limits = std::move(limits),
                                     .max_connections = max_connections},
            std::move(handler));
    };
    const auto between_daemons = [] {
        net::caller_limits limits;
        limits.sizes.max_body_bytes = 64ULL * 1024 * 1024;
        limits.idle_timeout = seconds(60);
        return limits;
    };
    const std::size_t most =
        (m_settings.max_descriptors - reserved_descriptors) / descriptors_per_caller;
    if (m_settings.serves_callers) {
        m_caller_server = make(
            m_settings.caller_endpoint,
            [this](net::server_exchange& caller) { return m_front.handle(caller); },
            [this] { return m_context.plan ? m_context.plan->limits : net::caller_limits(); },
            most);
    }
    if (!m_settings.readiness_endpoint.empty()) {
        m_readiness_server = make(
            m_settings.readiness_endpoint,
            [this](net::server_exchange& caller) { return answer_readiness(caller); },
            between_daemons, 64);
    }
    if (!m_settings.metrics_endpoint.empty()) {
        m_metrics_server = make(
            m_settings.metrics_endpoint,
            [this](net::server_exchange& caller) { return answer_metrics(caller); },
            between_daemons, 16);
    }
    m_peer_server = make(
        m_settings.peer_endpoint,
        [this](net::server_exchange& caller) { return m_peer_api.handle(caller); }, between_daemons,
        512);
}

result<void> fleet_host::start_servers() {
    open_servers();
    for (net::http_server* server : {m_caller_server.get(), m_readiness_server.get(),
                                     m_metrics_server.get(), m_peer_server.get()}) {
        if (server != nullptr) {
            BOOST_OUTCOME_TRY(server->start());
        }
    }
    return success();
}

result<void> fleet_host::start() {
    m_log.write(observe::event::daemon_started, m_settings.host,
                {{"zone", m_settings.availability_zone},
                 {"incarnation", std::to_string(m_incarnation)},
                 {"peer_endpoint", m_settings.peer_endpoint},
                 {"callers", m_settings.serves_callers ? "yes" : "no"},
                 {"jobs", m_settings.runs_jobs ? "yes" : "no"}});
    m_mirror.on_change([this](std::string_view prefix) { on_mirror_change(prefix); });
    m_link.on_newer_revision = [this](const fleet::newer_revision& news) { m_peer_api.pull(news); };
    m_link.reaches_store = [this] { return m_feed.connected_since() != time_point::max(); };
    m_registration.on_contact = [this](bool answered, std::string_view reason) {
        m_feed.note_contact(answered, reason);
    };
    follow_prefixes();
    if (m_runner) {
        m_link.on_peer_load = [this] { m_runner->note_load(); };
        m_link.own_waiting = [this] { return m_runner->waiting(); };
    }
    BOOST_OUTCOME_TRY(start_servers());
    BOOST_OUTCOME_TRY(m_link.start());
    m_feed.start();
    m_registration.start();
    if (m_runner) {
        m_runner->start();
    }
    net::asio::co_spawn(m_context.executor, tick_loop(), net::asio::detached);
    return success();
}

void fleet_host::follow_prefixes() {
    m_feed.must_watch = [this, started_at = m_clock()] {
        return m_clock() - started_at >= m_settings.watch_grace &&
               fleet::must_watch(m_link.members(), self(),
                                 [this](std::string_view host) { return heard_state(host); });
    };
    // Daemons that run jobs must know who else does; they are few.
    m_feed.set_options(fleet::member_prefix,
                       {.gather_time = member_gather_time, .always_watched = m_settings.runs_jobs});
    m_feed.set_options(m_adapter.target_prefix, {.gather_time = target_gather_time});
    m_feed.set_options(jobs::ended_prefix,
                       {.gather_time = ended_gather_time, .always_watched = true});
}

fleet::heard_state fleet_host::heard_state(std::string_view host) const {
    if (host == m_settings.host) {
        return m_feed.connected_since() != time_point::max() ? fleet::heard_state::with_store
                                                             : fleet::heard_state::without_store;
    }
    if (m_link.hears_with_store(host, delegate_silence)) {
        return fleet::heard_state::with_store;
    }
    return m_link.heard_within(host, delegate_silence) ? fleet::heard_state::without_store
                                                       : fleet::heard_state::silent;
}

void fleet_host::on_mirror_change(std::string_view prefix) {
    m_link.note_change();
    if (prefix == m_adapter.operator_prefix) {
        apply_plan();
        check_evacuation();
    } else if (prefix == m_adapter.target_prefix) {
        apply_targets();
    } else if (prefix == fleet::member_prefix) {
        apply_members();
    } else if (prefix == jobs::ended_prefix) {
        apply_ended_jobs();
    }
    if (!m_started_ready && ready()) {
        m_started_ready = true;
        m_log.write(observe::event::daemon_ready, m_settings.host,
                    {{"configuration", std::to_string(m_context.plan->version)}});
    }
}

void fleet_host::apply_plan() {
    const store::kv_item* item = m_mirror.find(m_adapter.plan_key);
    // Other records below the operator's prefix change as well.
    if (item == nullptr || item->revision == m_plan_revision) {
        return;
    }
    m_plan_revision = item->revision;
    result<config::serving_plan> plan = m_adapter.decode_plan(item->value);
    const std::uint64_t current = m_context.plan ? m_context.plan->version : 0;
    if (!plan) {
        m_log.write(observe::event::configuration_rejected, item->key,
                    {{"reason", plan.error().message},
                     {"revision", std::to_string(item->revision)},
                     {"in_force", std::to_string(current)}});
        return;
    }
    if (plan.value().version <= current) {
        return;
    }
    m_log.write(observe::event::configuration_in_force, m_adapter.plan_key,
                {{"version", std::to_string(plan.value().version)},
                 {"before", std::to_string(current)},
                 {"revision", std::to_string(item->revision)}});
    m_context.plan = std::make_shared<const config::serving_plan>(std::move(plan.value()));
    apply_limits();
}

void fleet_host::apply_limits() {
    if (!m_context.plan) {
        return;
    }
    limits::customer_limits limits;
    for (const auto& [name, customer] : m_context.plan->customers) {
        limits[name] = {customer.rate_per_second, customer.burst};
    }
    m_shares.configure(limits, m_link.fronts(), m_clock());
}

void fleet_host::apply_targets() {
    const bool reached =
        m_feed.connected_since() != time_point::max() || m_link.any_peer_has_store();
    m_store_presence.update(reached, m_clock());
    m_loads.set_targets(m_targets.update(m_mirror.items(m_adapter.target_prefix),
                                         m_store_presence.contact(), m_clock()));
}

void fleet_host::apply_members() {
    std::vector<fleet::member> members;
    for (const auto& [key, item] : m_mirror.items(fleet::member_prefix)) {
        if (std::optional<fleet::member> record = fleet::member_from_json(item.value)) {
            members.push_back(std::move(*record));
        }
    }
    m_link.set_members(members);
    apply_limits();
    if (m_runner) {
        m_runner->note_members();
    }
}

void fleet_host::apply_ended_jobs() {
    for (const auto& [key, item] : m_mirror.items(jobs::ended_prefix)) {
        m_runner->note_ended(key.substr(jobs::ended_prefix.size()));
    }
}

void fleet_host::check_evacuation() {
    const bool asked = m_mirror.find(m_adapter.evacuation_key(m_settings.host)) != nullptr;
    if (asked && m_runner) {
        m_evacuation.begin(*m_runner);
    }
}

net::task<> fleet_host::tick_loop() {
    for (int tick = 0;; ++tick) {
        // Targets that were kept for a while after an outage may have to go now.
        apply_targets();
        // Daemons whose registration has ended stop counting after a while.
        apply_limits();
        if (tick % reload_ticks == 0 && m_adapter.reload) {
            m_adapter.reload();
        }
        m_log.flush();
        co_await net::sleep_for(tick_interval);
    }
}

net::task<> fleet_host::answer_readiness(net::server_exchange& caller) {
    net::http_response response;
    const bool known_path = caller.request().path() == m_adapter.readiness_path;
    response.status = !known_path ? 404 : ready() ? 200 : 503;
    co_await caller.respond(std::move(response));
}

net::task<> fleet_host::answer_metrics(net::server_exchange& caller) {
    net::http_response response;
    response.status = 200;
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    m_numbers.gauge("log_lines_dropped", static_cast<double>(m_log.dropped()));
    m_numbers.gauge("configuration_version",
                    m_context.plan ? static_cast<double>(m_context.plan->version) : 0);
    response.body = m_numbers.text();
    co_await caller.respond(std::move(response));
}

void fleet_host::begin_shutdown() {
    if (m_shutting_down) {
        return;
    }
    m_shutting_down = true;
    m_log.write(observe::event::drain_started, m_settings.host);
    if (m_caller_server) {
        m_caller_server->close_connections_after_response();
    }
    if (m_runner) {
        m_runner->release_all();
    }
    net::asio::co_spawn(m_context.executor, shutdown(), net::asio::detached);
}

net::task<> fleet_host::shutdown() {
    const time_point begun = m_clock();
    const time_point last = begun + m_settings.grace - shutdown_margin;
    for (;;) {
        const time_point now = m_clock();
        const bool idle = (!m_caller_server || m_caller_server->active_requests() == 0) &&
                          (!m_runner || m_runner->owns_nothing());
        const bool out_of_rotation = now - begun >= leave_rotation_time;
        if (m_caller_server && out_of_rotation) {
            // A zone without another host is sent callers all the same. What is read from now on
            // could not be finished; a caller that is not let in turns to another host at once.
            m_caller_server->stop();
        }
        if (now >= last || (idle && (out_of_rotation || !m_caller_server))) {
            break;
        }
        co_await net::sleep_for(milliseconds(50));
    }
    co_await m_registration.end();
    m_link.stop();
    m_log.write(observe::event::daemon_stopped, m_settings.host);
    m_log.flush();
    m_loop.stop();
}

} // namespace eelgrassdoor::host
