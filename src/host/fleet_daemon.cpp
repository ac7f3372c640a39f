#include "host/fleet_daemon.hpp"

namespace eelgrassdoor::host {

namespace {

/// Interval at which logs are flushed and time-dependent conditions are checked.
constexpr duration tick_interval = milliseconds(250);
/// Ticks between two checks of the settings file, which may change without a signal.
constexpr int ticks_per_reload = 8;
/// Silence after which a zone's delegate is no longer relied on: three lost digests in a row, and
/// shorter than the time in which changes must take effect.
constexpr duration delegate_timeout = milliseconds(1300);
/// Window in which changes of registrations are fetched together.
constexpr duration member_coalescing_delay = milliseconds(500);
/// Window in which changes of targets, which come in groups, are fetched together. A tenth of the
/// shortest time within which daemons must know of a target's shutdown.
constexpr duration target_coalescing_delay = milliseconds(200);
/// Window in which cancellations of jobs are fetched together. A sixth of the time within which a
/// cancelled job must stop; its owner usually receives the cancellation as a direct call.
constexpr duration cancellation_coalescing_delay = milliseconds(500);
/// Wait of watches whose changes must take effect within a few seconds. Bounds how long a lost
/// response hides a change.
constexpr duration urgent_watch_wait = milliseconds(2500);
/// Registration of daemons that run no jobs. No other daemon has to take over work from them, so
/// they may renew it less often.
constexpr duration frontend_ttl = seconds(8);
constexpr duration frontend_renew_interval = milliseconds(2500);
/// Responses of targets may take one part in this many of the memory. Growing buffers and copies on
/// the way to the caller take up to four times as much for a while.
constexpr std::size_t memory_per_responses = 8;

/// What requests hold, with the copies made of them, may take one part in this many of the memory.
/// Apart from that of responses, so that neither side can keep out the other.
constexpr std::size_t memory_per_requests = 4;
/// Responses that their clients have not read may take one part in this many of the memory.
constexpr std::size_t memory_per_outgoing = 8;

std::vector<std::string> mirrored_prefixes(const platform_interface& adapter, bool runs_jobs) {
    std::vector<std::string> prefixes{adapter.operator_prefix, adapter.target_prefix,
                                      std::string(fleet::member_prefix)};
    if (runs_jobs) {
        prefixes.emplace_back(jobs::cancelled_prefix);
    }
    return prefixes;
}

} // namespace

fleet_daemon::fleet_daemon(net::asio::io_context& loop, host_settings settings,
                           platform_interface& adapter, observe::decision_log& log)
    : m_loop(loop), m_settings(std::move(settings)), m_adapter(adapter), m_log(log),
      m_incarnation(static_cast<std::uint64_t>(m_settings.wall_clock())),
      m_random(secure_random_uint64()), m_loads({.local_zone = m_settings.availability_zone}),
      m_shares(m_settings.first_start), m_mirror(mirrored_prefixes(adapter, m_settings.runs_jobs)),
      m_feed(loop.get_executor(), adapter.store, m_mirror, m_clock, log),
      m_plan_confirmation(loop.get_executor(), m_clock,
                          [this] { return m_feed.refresh(m_adapter.operator_prefix); }),
      m_cancellation_confirmation(
          loop.get_executor(), m_clock,
          [this] { return m_feed.refresh(std::string(jobs::cancelled_prefix)); }),
      m_messenger(
          loop.get_executor(),
          {.self = self(), .seeds = m_settings.seeds, .is_cut_off = m_settings.is_partitioned},
          m_clock, log, m_loads, m_mirror, m_shares),
      m_registration(loop.get_executor(), adapter.store, m_mirror, registration_settings(), m_clock,
                     boot_clock(), log),
      m_target_discovery(adapter.decode_target, log),
      m_service_versions(loop.get_executor(), adapter.store, m_clock, log, m_settings.first_start),
      m_response_memory(m_settings.max_memory_bytes / memory_per_responses),
      m_request_memory(m_settings.max_memory_bytes / memory_per_requests),
      m_outgoing_memory(m_settings.max_memory_bytes / memory_per_outgoing, m_clock),
      m_context{.executor = loop.get_executor(),
                .clock = m_clock,
                .random = m_random,
                .log = log,
                .metrics = m_metrics,
                .loads = m_loads,
                .quarantine = m_quarantine,
                .request_quarantine = m_request_quarantine,
                .messenger = m_messenger,
                .versions = m_service_versions,
                .codec = adapter.codec,
                .response_memory = m_response_memory,
                .plan = nullptr,
                .is_partitioned_from_target = m_settings.is_partitioned_from_target,
                .queues_requests = m_settings.queues_requests},
      m_repository(adapter.store, m_clock, log),
      m_runner(m_settings.runs_jobs
                   ? std::make_unique<jobs::job_runner>(m_context, m_repository, runner_settings())
                   : nullptr),
      m_job_frontend(m_context, m_repository, {.is_partitioned = m_settings.is_partitioned}),
      m_frontend(m_context, m_job_frontend, make_request_gate(),
                 [this](time_point since) { return confirm_plan(since); }),
      m_evacuation(m_context.executor, m_settings.host, adapter, log),
      m_relay(m_context, [this] { return !m_shutdown_start; }),
      m_peer_api(m_context, m_mirror, m_runner.get(), m_job_frontend, m_relay),
      m_servers(m_context.executor, m_settings, make_handlers()),
      m_schedule(m_settings.shutdown_grace) {}

fleet_daemon::~fleet_daemon() = default;

fleet::registration_options fleet_daemon::registration_settings() const {
    fleet::registration_options options{.self = self()};
    if (!m_settings.runs_jobs) {
        options.ttl = frontend_ttl;
        options.renew_interval = frontend_renew_interval;
        options.max_retry_delay = frontend_renew_interval;
    }
    return options;
}

fleet::member fleet_daemon::self() const {
    return {.host = m_settings.host,
            .availability_zone = m_settings.availability_zone,
            .endpoint = m_settings.peer_endpoint,
            .incarnation = m_incarnation,
            .serves_callers = m_settings.serves_callers,
            .holds_tokens = m_settings.serves_callers,
            .issues_permits = true,
            .keeps_stream_versions = true,
            .relays_requests = true,
            .runs_jobs = m_settings.runs_jobs};
}

jobs::runner_options fleet_daemon::runner_settings() {
    return {
        .self = self(),
        .registration_valid = [this] { return m_registration.valid(); },
        .registration_generation = [this] { return m_registration.generation(); },
        .store_connected_since = [this] { return m_feed.connected_since(); },
        .is_cancelled =
            [this](const std::string& job) {
                return m_mirror.find(jobs::cancelled_key(job)) != nullptr;
            },
        .max_cancellation_delay = m_settings.max_cancellation_delay,
        .knows_cancellations =
            [this](time_point since) { return m_cancellation_confirmation.is_confirmed(since); },
        .confirm_cancellations = [this](time_point since) { return confirm_cancellations(since); },
        .confirm_plan = [this](time_point since) { return confirm_plan(since); },
        .max_value_bytes = m_settings.max_value_bytes,
        .wall_clock = m_settings.wall_clock};
}

bool fleet_daemon::ready() const {
    return !m_shutdown_start && m_context.plan && m_mirror.revision(m_adapter.target_prefix) > 0 &&
           m_mirror.revision(fleet::member_prefix) > 0;
}

server_handlers fleet_daemon::make_handlers() {
    return {
        .caller = [this](net::server_exchange& exchange) { return m_frontend.handle(exchange); },
        .readiness = [this](net::server_exchange& exchange) { return handle_readiness(exchange); },
        .metrics = [this](net::server_exchange& exchange) { return handle_metrics(exchange); },
        .peer = [this](net::server_exchange& exchange) { return m_peer_api.handle(exchange); },
        .caller_limits =
            [this] { return m_context.plan ? m_context.plan->limits : net::client_limits(); },
        .stop_response = [this](bool may_have_run) { return make_stop_response(may_have_run); },
        .request_memory = &m_request_memory,
        .responses = &m_outgoing_memory,
        .memory_response =
            [this] { return m_adapter.codec.encode_error(entry::refused_for_memory()); }};
}

result<void> fleet_daemon::start() {
    m_servers.on_metrics_unavailable = [this](const std::string& reason) {
        m_log.write(observe::event::endpoint_unavailable, m_settings.metrics_endpoint,
                    {{"reason", reason}});
    };
    m_request_memory.on_yield = [this](time_point began_at, std::size_t bytes) {
        log_yield(began_at, bytes);
    };
    m_outgoing_memory.on_yield = [this](const net::yielded_response& each) { log_yield(each); };
    BOOST_OUTCOME_TRY(m_messenger.start());
    BOOST_OUTCOME_TRY(m_servers.start());
    m_log.write(observe::event::daemon_started, m_settings.host,
                {{"zone", m_settings.availability_zone},
                 {"incarnation", std::to_string(m_incarnation)},
                 {"peer_endpoint", m_settings.peer_endpoint},
                 {"callers", m_settings.serves_callers ? "yes" : "no"},
                 {"jobs", m_settings.runs_jobs ? "yes" : "no"}});
    m_mirror.on_change([this](std::string_view prefix) { on_mirror_change(prefix); });
    m_messenger.on_newer_revision = [this](const fleet::newer_revision& newer) {
        m_peer_api.pull(newer);
    };
    m_target_discovery.on_entry = [this](const routing::fleet_target& target) {
        m_loads.cold_targets().record_entry(target, m_clock());
    };
    m_messenger.reaches_store = [this] { return m_feed.connected_since() != time_point::max(); };
    m_messenger.collect_evidence = [this] { return m_quarantine.evidence(m_clock()); };
    m_messenger.on_evidence = [this](const std::vector<routing::segment_evidence>& evidence) {
        merge_evidence(m_quarantine, "segment", evidence);
    };
    m_messenger.collect_request_evidence = [this] {
        return m_request_quarantine.evidence(m_clock());
    };
    m_messenger.on_request_evidence =
        [this](const std::vector<routing::segment_evidence>& evidence) {
            merge_evidence(m_request_quarantine, "request", evidence);
        };
    m_messenger.on_limit_change = [this](const std::vector<routing::target_instance>& targets) {
        log_limit_changes(targets);
    };
    m_loads.capacities().on_change = [this](std::uint64_t target,
                                            const routing::capacity_figure& figure) {
        log_capacity_change(target, figure);
    };
    m_registration.on_store_call = [this](bool answered, std::string_view reason) {
        m_feed.record_call_result(answered, reason);
    };
    configure_mirror_feed();
    if (m_runner) {
        m_messenger.on_peer_load = [this] { m_runner->on_load_change(); };
        m_messenger.collect_waiting_tokens = [this] { return m_runner->waiting_tokens(); };
    }
    m_feed.start();
    m_registration.start();
    if (m_settings.serves_callers) {
        m_service_versions.is_writer = [this] { return m_feed.must_watch(); };
        m_service_versions.is_store_reachable = [this] {
            return m_feed.connected_since() != time_point::max();
        };
        m_service_versions.confirm_targets = [this] {
            return m_feed.refresh(m_adapter.target_prefix);
        };
        m_service_versions.start();
    }
    if (m_runner) {
        m_runner->start();
    }
    net::asio::co_spawn(m_context.executor, tick_loop(), net::asio::detached);
    return success();
}

void fleet_daemon::configure_mirror_feed() {
    m_feed.must_watch = [this, started_at = m_clock()] {
        return m_clock() - started_at >= m_settings.watch_grace &&
               fleet::must_watch(m_messenger.members(), self(),
                                 [this](std::string_view host) { return peer_status_of(host); });
    };
    // Daemons that run jobs must know each other; there are few of them.
    m_feed.set_options(fleet::member_prefix, {.coalescing_delay = member_coalescing_delay,
                                              .always_watched = m_settings.runs_jobs});
    m_feed.set_options(m_adapter.operator_prefix, {.watch_wait = urgent_watch_wait});
    m_feed.set_options(m_adapter.target_prefix, {.coalescing_delay = target_coalescing_delay,
                                                 .watch_wait = urgent_watch_wait});
    m_feed.set_options(jobs::cancelled_prefix,
                       {.coalescing_delay = cancellation_coalescing_delay, .always_watched = true});
}

net::task<bool> fleet_daemon::confirm_plan(time_point since) {
    // Calls that are made regularly show when the store is back.
    if (m_feed.connected_since() == time_point::max()) {
        co_return false;
    }
    co_return co_await m_plan_confirmation.confirm(since);
}

net::task<bool> fleet_daemon::confirm_cancellations(time_point since) {
    if (m_feed.connected_since() == time_point::max()) {
        co_return false;
    }
    co_return co_await m_cancellation_confirmation.confirm(since);
}

fleet::peer_status fleet_daemon::peer_status_of(std::string_view host) const {
    if (host == m_settings.host) {
        return m_feed.connected_since() != time_point::max() ? fleet::peer_status::with_store
                                                             : fleet::peer_status::without_store;
    }
    if (m_messenger.peer_reaches_store(host, delegate_timeout)) {
        return fleet::peer_status::with_store;
    }
    return m_messenger.heard_within(host, delegate_timeout) ? fleet::peer_status::without_store
                                                            : fleet::peer_status::silent;
}

net::task<> fleet_daemon::tick_loop() {
    for (int tick = 0;; ++tick) {
        // Targets that were retained after a store outage may have expired.
        apply_targets();
        // Daemons whose registration has ended stop counting for rate limits after a while.
        apply_limits();
        apply_senders();
        if (tick % ticks_per_reload == 0 && m_adapter.reload) {
            m_adapter.reload();
        }
        m_log.flush();
        co_await net::sleep_for(tick_interval);
    }
}

net::task<> fleet_daemon::handle_readiness(net::server_exchange& exchange) {
    net::http_response response;
    const bool known_path = exchange.request().path() == m_adapter.readiness_path;
    response.status = !known_path ? 404 : ready() ? 200 : 503;
    co_await exchange.respond(std::move(response));
}

} // namespace eelgrassdoor::host
