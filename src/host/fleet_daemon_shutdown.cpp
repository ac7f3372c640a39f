#include "host/fleet_daemon.hpp"

#include <algorithm>

namespace eelgrassdoor::host {

namespace {

/// Longest time between two checks whether all requests and jobs have ended.
constexpr duration check_interval = milliseconds(50);

} // namespace

void fleet_daemon::begin_shutdown() {
    if (m_shutdown_start) {
        return;
    }
    m_shutdown_start = m_clock();
    m_log.write(observe::event::drain_started, m_settings.host);
    if (net::http_server* callers = m_servers.caller()) {
        callers->close_connections_after_response();
    }
    if (m_runner) {
        m_runner->start_draining();
    }
    net::asio::co_spawn(m_context.executor, shutdown(), net::asio::detached);
}

entry::request_gate fleet_daemon::make_request_gate() const {
    return {.accepts_requests =
                [this] {
                    return !m_shutdown_start ||
                           m_schedule.phase_at(m_clock() - *m_shutdown_start) ==
                               shutdown_phase::admitting;
                },
            .time_left =
                [this] {
                    return m_shutdown_start
                               ? m_schedule.time_for_requests(m_clock() - *m_shutdown_start)
                               : duration::max();
                }};
}

net::http_response fleet_daemon::make_stop_response(bool may_have_run) const {
    return m_adapter.codec.encode_error(may_have_run ? entry::ended_by_shutdown()
                                                     : entry::refused_by_shutdown());
}

bool fleet_daemon::is_drained() {
    net::http_server* const callers = m_servers.caller();
    const bool callers_served = callers == nullptr || callers->connections() == 0;
    return callers_served && m_relay.active() == 0 && (!m_runner || m_runner->is_drained());
}

net::task<> fleet_daemon::shutdown() {
    net::http_server* const callers = m_servers.caller();
    shutdown_phase done = shutdown_phase::admitting;
    for (;;) {
        const duration elapsed = m_clock() - *m_shutdown_start;
        const shutdown_phase phase = m_schedule.phase_at(elapsed);
        if (callers != nullptr && phase >= shutdown_phase::closed &&
            done < shutdown_phase::closed) {
            // The balancer still sends callers here if the zone has no other host. A caller whose
            // connection is refused turns to another host at once.
            callers->stop();
        }
        if (callers != nullptr && phase >= shutdown_phase::ending_requests &&
            done < shutdown_phase::ending_requests) {
            callers->interrupt_requests();
        }
        done = phase;
        // Before the listener closes, callers may still arrive.
        const bool may_end = callers == nullptr || phase >= shutdown_phase::closed;
        if (phase == shutdown_phase::final_steps || (may_end && is_drained())) {
            break;
        }
        const duration pause = std::min(check_interval, m_schedule.until_next_phase(elapsed));
        co_await net::sleep_for(pause);
    }
    if (callers != nullptr) {
        callers->close_connections();
    }
    co_await m_registration.end();
    m_messenger.stop();
    m_log.write(observe::event::daemon_stopped, m_settings.host);
    m_log.flush();
    if (m_settings.on_stopped) {
        m_settings.on_stopped();
    } else {
        m_loop.stop();
    }
}

} // namespace eelgrassdoor::host
