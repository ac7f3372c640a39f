/// \file
/// Defines the daemon, which connects the services and controls their start and shutdown.
#pragma once

#include "entry/frontend.hpp"
#include "entry/job_frontend.hpp"
#include "fleet/peer_messenger.hpp"
#include "fleet/registration.hpp"
#include "fleet/store_connectivity.hpp"
#include "fleet/watch_delegate.hpp"
#include "host/daemon_servers.hpp"
#include "host/evacuation.hpp"
#include "host/host_settings.hpp"
#include "host/peer_api.hpp"
#include "host/platform_interface.hpp"
#include "host/shutdown_schedule.hpp"
#include "host/target_discovery.hpp"
#include "jobs/job_runner.hpp"
#include "net/request_memory.hpp"
#include "store/mirror_confirmation.hpp"
#include "store/mirror_feed.hpp"

#include <memory>
#include <optional>
#include <span>

namespace eelgrassdoor::host {

/// One daemon of the fleet. Runs on the event loop's thread; \p loop, \p adapter and \p log must
/// outlive it.
class fleet_daemon {
public:
    fleet_daemon(net::asio::io_context& loop, host_settings settings, platform_interface& adapter,
                 observe::decision_log& log);
    ~fleet_daemon();

    /// Opens the listening sockets and starts the services. The error names what could not be
    /// opened.
    result<void> start();
    /// Starts a graceful shutdown: the event loop stops, or host_settings::on_stopped is called,
    /// when all requests and jobs have been finished or handed over, or when the grace period is
    /// over. Callers whose requests still run then get a final response before. Repeated calls have
    /// no effect.
    void begin_shutdown();
    /// Whether this daemon's registration is certainly valid, so that others count it as a member.
    [[nodiscard]] bool is_registered() const { return m_registration.valid(); }

private:
    [[nodiscard]] fleet::member self() const;
    [[nodiscard]] fleet::registration_options registration_settings() const;
    void configure_mirror_feed();
    /// Whether the serving plan holds every configuration acknowledged before \p since; asks the
    /// key-value service if that is not known.
    net::task<bool> confirm_plan(time_point since);
    /// The same for the mirror of cancelled jobs and cancellations.
    net::task<bool> confirm_cancellations(time_point since);
    [[nodiscard]] jobs::runner_options runner_settings();
    /// Whether a daemon, which may be this one, is alive and reaches the store, as far as this
    /// daemon knows.
    [[nodiscard]] fleet::peer_status peer_status_of(std::string_view host) const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] server_handlers make_handlers();

    void on_mirror_change(std::string_view prefix);
    void apply_plan();
    void apply_targets();
    void apply_members();
    /// Takes over which daemons may send requests to cold targets.
    void apply_senders();
    /// Logs the request limits that have changed by what another daemon knows.
    void log_limit_changes(std::span<const routing::target_instance> targets);
    /// Logs that the figure of a target left or returned to neutral.
    void log_capacity_change(std::uint64_t target, const routing::capacity_figure& figure);
    /// Stops this daemon's jobs that the store lists as cancelled.
    void apply_cancelled_jobs();
    void apply_limits();
    /// Logs that a request gave way, at a bounded rate.
    void log_yield(time_point began_at, std::size_t bytes);
    /// Logs that a response gave way.
    void log_yield(const net::yielded_response& yielded);
    void apply_cold_limits();
    /// Takes over another daemon's evidence on prompt segments that crash targets.
    void merge_evidence(routing::prompt_quarantine& quarantine, std::string_view kind,
                        const std::vector<routing::segment_evidence>& evidence);
    /// Takes over which availability zones the operator evacuates.
    void apply_evacuated_zones();
    void check_evacuation();

    net::task<> tick_loop();
    /// Tells the frontend which requests the shutdown leaves time for.
    [[nodiscard]] entry::request_gate make_request_gate() const;
    /// The response to a request that the shutdown refuses or ends.
    [[nodiscard]] net::http_response make_stop_response(bool may_have_run) const;
    /// Whether no caller is connected and no job remains.
    [[nodiscard]] bool is_drained();
    net::task<> shutdown();
    net::task<> handle_readiness(net::server_exchange& exchange);
    net::task<> handle_metrics(net::server_exchange& exchange);
    /// Sets the gauges that tell how current each mirrored prefix is.
    void set_mirror_gauges();

    net::asio::io_context& m_loop;
    const host_settings m_settings;
    platform_interface& m_adapter;
    observe::decision_log& m_log;
    const std::uint64_t m_incarnation;
    clock_fn m_clock = steady_clock();
    random_source m_random;
    observe::metrics m_metrics;
    routing::fleet_load m_loads;
    routing::prompt_quarantine m_quarantine;
    routing::prompt_quarantine m_request_quarantine{routing::whole_request_rule};
    limits::customer_shares m_shares;
    store::mirror m_mirror;
    store::mirror_feed m_feed;
    store::mirror_confirmation m_plan_confirmation;
    store::mirror_confirmation m_cancellation_confirmation;
    fleet::peer_messenger m_messenger;
    fleet::registration m_registration;
    target_discovery m_target_discovery;
    fleet::store_connectivity_tracker m_store_reachability;
    fleet::service_versions m_service_versions;
    net::memory_budget m_response_memory;
    net::request_memory m_request_memory;
    net::outgoing_memory m_outgoing_memory;
    /// When a request that gave way was last logged.
    time_point m_yield_logged = time_point::min();
    serving::service_context m_context;
    jobs::job_repository m_repository;
    std::unique_ptr<jobs::job_runner> m_runner;
    entry::job_frontend m_job_frontend;
    entry::frontend m_frontend;
    evacuation m_evacuation;
    serving::target_relay m_relay;
    peer_api m_peer_api;
    daemon_servers m_servers;
    /// Revision of the last configuration that was decoded, valid or not.
    std::uint64_t m_plan_revision = 0;
    bool m_ready_logged = false;
    const shutdown_schedule m_schedule;
    /// When the shutdown began; nothing before.
    std::optional<time_point> m_shutdown_start;
};

} // namespace eelgrassdoor::host
