#include "base/text.hpp"
#include "host/fleet_daemon.hpp"

#include <cmath>

namespace eelgrassdoor::host {

void fleet_daemon::on_mirror_change(std::string_view prefix) {
    m_messenger.schedule_digest();
    if (prefix == m_adapter.operator_prefix) {
        apply_plan();
        apply_evacuated_zones();
        check_evacuation();
    } else if (prefix == m_adapter.target_prefix) {
        apply_targets();
    } else if (prefix == fleet::member_prefix) {
        apply_members();
    } else if (prefix == jobs::cancelled_prefix) {
        apply_cancelled_jobs();
    }
    if (!m_ready_logged && ready()) {
        m_ready_logged = true;
        m_log.write(observe::event::daemon_ready, m_settings.host,
                    {{"configuration", std::to_string(m_context.plan->version)}});
    }
}

void fleet_daemon::apply_plan() {
    const store::kv_item* item = m_mirror.find(m_adapter.plan_key);
    // Changes of other records below the operator's prefix also lead here.
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
    apply_cold_limits();
}

void fleet_daemon::apply_cold_limits() {
    routing::cold_limits limits;
    for (const auto& [name, service] : m_context.plan->services) {
        limits[name] = {service.cold_time, service.cold_requests_per_second};
    }
    m_loads.cold_targets().set_limits(std::move(limits), m_clock());
}

void fleet_daemon::apply_evacuated_zones() {
    routing::zone_set zones;
    for (const auto& [key, item] : m_mirror.items(m_adapter.operator_prefix)) {
        if (std::optional<std::string> zone = m_adapter.evacuated_zone(key)) {
            zones.insert(std::move(*zone));
        }
    }
    if (zones == m_loads.evacuated_zones()) {
        return;
    }
    const std::string before = str_join(m_loads.evacuated_zones(), ",");
    const std::string after = str_join(zones, ",");
    m_log.write(observe::event::evacuated_zones_changed, m_settings.host,
                {{"before", before},
                 {"now", after},
                 {"revision", std::to_string(m_mirror.revision(m_adapter.operator_prefix))}});
    m_loads.set_evacuated_zones(std::move(zones), m_clock());
}

void fleet_daemon::apply_limits() {
    if (!m_context.plan) {
        return;
    }
    limits::customer_limits limits;
    for (const auto& [name, customer] : m_context.plan->customers) {
        limits[name] = {customer.rate_per_second, customer.burst};
    }
    m_messenger.apply_limits(limits);
}

void fleet_daemon::apply_targets() {
    const bool store_reachable =
        m_feed.connected_since() != time_point::max() || m_messenger.any_peer_reaches_store();
    m_store_reachability.update(store_reachable, m_clock());
    std::vector<routing::fleet_target> targets = m_target_discovery.update(
        m_mirror.items(m_adapter.target_prefix), m_store_reachability.connectivity(), m_clock());
    m_service_versions.set_targets(targets);
    m_context.reachability.set_target_count(targets.size());
    m_loads.set_targets(std::move(targets));
}

void fleet_daemon::apply_members() {
    std::vector<fleet::member> members;
    for (const auto& [key, item] : m_mirror.items(fleet::member_prefix)) {
        if (std::optional<fleet::member> record = fleet::member_from_json(item.value)) {
            members.push_back(std::move(*record));
        }
    }
    m_messenger.set_members(members);
    apply_limits();
    apply_senders();
    if (m_runner) {
        m_runner->on_membership_change();
    }
}

void fleet_daemon::apply_senders() {
    std::vector<routing::sending_daemon> senders;
    for (const auto& [host, each] : m_messenger.active_members()) {
        if (each.serves_callers) {
            senders.push_back({host, each.availability_zone});
        }
    }
    m_loads.cold_targets().set_daemons(std::move(senders), m_settings.host);
}

void fleet_daemon::merge_evidence(routing::prompt_quarantine& quarantine, std::string_view kind,
                                  const std::vector<routing::segment_evidence>& evidence) {
    for (const std::uint64_t segment : quarantine.merge(evidence, m_clock())) {
        m_log.write(observe::event::segment_quarantined, m_settings.host,
                    {{"kind", std::string(kind)}, {"segment", std::to_string(segment)}});
    }
}

void fleet_daemon::log_limit_changes(std::span<const routing::target_instance> targets) {
    for (const routing::target_instance& each : targets) {
        const std::optional<double> limit = m_loads.request_limits().limit_of(each);
        m_log.write(observe::event::target_limit_changed, m_loads.name_of(each),
                    {{"requests_per_second", limit ? str_cat(*limit) : std::string("none")},
                     {"source", "peer"}});
    }
}

void fleet_daemon::log_capacity_change(std::uint64_t target,
                                       const routing::capacity_figure& figure) {
    const std::string limit =
        figure.pace_limit ? std::to_string(*figure.pace_limit) : std::string("none");
    m_log.write(observe::event::target_capacity_changed, m_loads.name_of({target, 0}),
                {{"speed_percent", std::to_string(std::lround(figure.speed * 100))},
                 {"pace_limit", limit}});
}

void fleet_daemon::apply_cancelled_jobs() {
    for (const auto& [key, item] : m_mirror.items(jobs::cancelled_prefix)) {
        m_runner->mark_cancelled(key.substr(jobs::cancelled_prefix.size()));
    }
}

void fleet_daemon::check_evacuation() {
    const bool requested = m_mirror.find(m_adapter.evacuation_key(m_settings.host)) != nullptr;
    if (requested && m_runner) {
        m_evacuation.begin(*m_runner);
    }
}

} // namespace eelgrassdoor::host
