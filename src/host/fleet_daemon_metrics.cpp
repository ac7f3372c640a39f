#include "base/text.hpp"
#include "host/fleet_daemon.hpp"

namespace eelgrassdoor::host {

namespace {

/// Least time between two logs of requests that gave way; a crowd makes many.
constexpr duration yield_log_interval = seconds(1);

} // namespace

net::task<> fleet_daemon::handle_metrics(net::server_exchange& exchange) {
    net::http_response response;
    response.status = 200;
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    m_metrics.gauge("log_lines_dropped", static_cast<double>(m_log.dropped()));
    m_metrics.gauge("configuration_version",
                    m_context.plan ? static_cast<double>(m_context.plan->version) : 0);
    m_metrics.gauge("rate_limit_customers_held", static_cast<double>(m_messenger.held_customers()));
    m_metrics.gauge("evacuated_zones", static_cast<double>(m_loads.evacuated_zones().size()));
    m_metrics.gauge("cold_targets", static_cast<double>(m_loads.cold_count(m_clock())));
    m_metrics.gauge("targets_unreachable", m_context.reachability.is_partitioned() ? 1 : 0);
    m_metrics.gauge("limited_targets", static_cast<double>(m_loads.limited_count()));
    m_loads.capacities().expire(m_clock());
    m_metrics.gauge("targets_below_neutral",
                    static_cast<double>(m_loads.capacities().below_neutral_count()));
    if (const auto changed_at = m_loads.capacities().changed_at()) {
        m_metrics.gauge("target_capacity_change_age_seconds", to_seconds(m_clock() - *changed_at));
    }
    m_metrics.gauge("quarantined_segments",
                    static_cast<double>(m_quarantine.quarantined_count(m_clock())));
    m_metrics.gauge("quarantined_requests",
                    static_cast<double>(m_request_quarantine.quarantined_count(m_clock())));
    m_metrics.gauge("peers_heard", static_cast<double>(m_messenger.heard_peers()));
    m_metrics.gauge("request_bytes_reserved", static_cast<double>(m_request_memory.reserved()));
    m_metrics.gauge("requests_yielded", static_cast<double>(m_request_memory.yielded()));
    m_metrics.gauge("requests_refused_for_memory", static_cast<double>(m_request_memory.refused()));
    m_metrics.gauge("response_bytes_unsent", static_cast<double>(m_outgoing_memory.reserved()));
    m_metrics.gauge("responses_yielded", static_cast<double>(m_outgoing_memory.yielded()));
    m_metrics.gauge("responses_refused_for_memory",
                    static_cast<double>(m_outgoing_memory.refused()));
    set_mirror_gauges();
    response.body = m_metrics.text();
    co_await exchange.respond(std::move(response));
}

void fleet_daemon::log_yield(time_point began_at, std::size_t bytes) {
    const time_point now = m_clock();
    if (m_yield_logged != time_point::min() && now - m_yield_logged < yield_log_interval) {
        return;
    }
    m_yield_logged = now;
    m_log.write(observe::event::request_yielded, m_settings.host,
                {{"age_ms", std::to_string(to_ms(now - began_at))},
                 {"bytes", std::to_string(bytes)},
                 {"yielded", std::to_string(m_request_memory.yielded())},
                 {"refused", std::to_string(m_request_memory.refused())}});
}

void fleet_daemon::log_yield(const net::yielded_response& yielded) {
    m_log.write(observe::event::response_yielded, yielded.label.id,
                {{"customer", yielded.label.customer},
                 {"unread_ms", std::to_string(to_ms(yielded.unread_for))},
                 {"bytes", std::to_string(yielded.held_bytes)},
                 {"taken", std::to_string(yielded.taken_bytes)}});
}

void fleet_daemon::set_mirror_gauges() {
    const time_point now = m_clock();
    for (const std::string& prefix : m_mirror.prefixes()) {
        const store::feed_status status = m_feed.status(prefix);
        const auto set_gauge = [&](std::string_view name, duration age) {
            m_metrics.gauge(str_cat(name, "{prefix=\"", prefix, "\"}"), to_seconds(age));
        };
        if (status.confirmed_at != time_point::min()) {
            set_gauge("mirror_confirmed_age_seconds", now - status.confirmed_at);
        }
        const bool waits = status.waiting_since != time_point::max();
        set_gauge("store_wait_seconds", waits ? now - status.waiting_since : duration::zero());
    }
}

} // namespace eelgrassdoor::host
