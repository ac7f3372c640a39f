/// \file
/// Defines one daemon on the event loop: it wires the services and runs start and shutdown.
#pragma once

#include "entry/frontend.hpp"
#include "entry/job_frontend.hpp"
#include "fleet/peer_messenger.hpp"
#include "fleet/registration.hpp"
#include "fleet/store_connectivity.hpp"
#include "fleet/watch_delegate.hpp"
#include "host/evacuation.hpp"
#include "host/host_settings.hpp"
#include "host/peer_api.hpp"
#include "host/platform_interface.hpp"
#include "host/target_discovery.hpp"
#include "jobs/job_runner.hpp"
#include "store/mirror_feed.hpp"

#include <memory>

namespace eelgrassdoor::host {

/// Runs until it is told to end.
class fleet_host {
public:
    fleet_host(net::asio::io_context& loop, host_settings settings, host_adapter& adapter,
               observe::decision_log& log);
    ~fleet_host();

    /// Listens and starts everything; an error names what could not be opened.
    result<void> start();
    /// Ends gracefully: the event loop stops when nothing is left to do, or when time is up.
    void begin_shutdown();
    /// Whether this daemon is certain that the others count it as a member.
    [[nodiscard]] bool is_registered() const { return m_registration.valid(); }

private:
    [[nodiscard]] fleet::member self() const;
    [[nodiscard]] fleet::registration_options registration_settings() const;
    void follow_prefixes();
    /// What is known of a daemon of the fleet, this one included.
    [[nodiscard]] fleet::heard_state heard_state(std::string_view host) const;
    [[nodiscard]] bool ready() const;
    void open_servers();
    result<void> start_servers();

    void on_mirror_change(std::string_view prefix);
    void apply_plan();
    void apply_targets();
    void apply_members();
    void apply_ended_jobs();
    void apply_limits();
    void check_evacuation();

    net::task<> tick_loop();
    net::task<> shutdown();
    net::task<> answer_readiness(net::server_exchange& caller);
    net::task<> answer_metrics(net::server_exchange& caller);

    net::asio::io_context& m_loop;
    const host_settings m_settings;
    host_adapter& m_adapter;
    observe::decision_log& m_log;
    const std::uint64_t m_incarnation;
    clock_fn m_clock = steady_clock();
    random_source m_random;
    observe::metrics m_numbers;
    routing::fleet_load m_loads;
    limits::customer_shares m_shares;
    store::mirror m_mirror;
    store::mirror_feed m_feed;
    fleet::link m_link;
    fleet::registration m_registration;
    target_listing m_targets;
    fleet::store_presence m_store_presence;
    serving::host_context m_context;
    jobs::job_repository m_repository;
    std::unique_ptr<jobs::job_runner> m_runner;
    entry::job_front m_job_front;
    entry::front m_front;
    evacuation m_evacuation;
    peer_api m_peer_api;
    std::unique_ptr<net::http_server> m_caller_server;
    std::unique_ptr<net::http_server> m_readiness_server;
    std::unique_ptr<net::http_server> m_peer_server;
    std::unique_ptr<net::http_server> m_metrics_server;
    /// Revision of the configuration that was decoded last.
    std::uint64_t m_plan_revision = 0;
    bool m_started_ready = false;
    bool m_shutting_down = false;
};

} // namespace eelgrassdoor::host
