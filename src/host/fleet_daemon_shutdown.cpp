#include "host/fleet_daemon.hpp"

namespace eelgrassdoor::host {

namespace {

/// Time after SIGTERM in which callers still arrive: the load balancer removes a host after two
/// failed health checks, a second apart.
constexpr duration deregistration_delay = milliseconds(3500);
/// Part of the grace period that is reserved for the final steps.
constexpr duration shutdown_margin = milliseconds(700);

} // namespace

void fleet_daemon::begin_shutdown() {
    if (m_shutting_down) {
        return;
    }
    m_shutting_down = true;
    m_log.write(observe::event::drain_started, m_settings.host);
    if (net::http_server* callers = m_servers.caller()) {
        callers->close_connections_after_response();
    }
    if (m_runner) {
        m_runner->start_draining();
    }
    net::asio::co_spawn(m_context.executor, shutdown(), net::asio::detached);
}

net::task<> fleet_daemon::shutdown() {
    const time_point shutdown_start = m_clock();
    const time_point shutdown_deadline =
        shutdown_start + m_settings.shutdown_grace - shutdown_margin;
    for (;;) {
        const time_point now = m_clock();
        net::http_server* const callers = m_servers.caller();
        const bool idle = (callers == nullptr || callers->active_requests() == 0) &&
                          (!m_runner || m_runner->is_drained());
        const bool out_of_rotation = now - shutdown_start >= deregistration_delay;
        if (callers != nullptr && out_of_rotation) {
            // The balancer still sends callers here if the zone has no other host. Requests read
            // from now on could not be finished; a caller whose connection is refused turns to
            // another host at once.
            callers->stop();
        }
        if (now >= shutdown_deadline || (idle && (out_of_rotation || callers == nullptr))) {
            break;
        }
        co_await net::sleep_for(milliseconds(50));
    }
    co_await m_registration.end();
    m_messenger.stop();
    m_log.write(observe::event::daemon_stopped, m_settings.host);
    m_log.flush();
    m_loop.stop();
}

} // namespace eelgrassdoor::host
