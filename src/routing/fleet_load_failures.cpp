#include "routing/fleet_load.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

void fleet_load::expire_failures(time_point now) {
    while (!m_recent_failures.empty() && now - m_recent_failures.front().first > failure_window) {
        adjust_local_load(m_recent_failures.front().second, {.failures = -1});
        m_recent_failures.pop_front();
    }
}

void fleet_load::backoff_state::begin(time_point now) {
    if (now < until) {
        return;
    }
    interval = std::clamp(2 * interval, initial_backoff, max_backoff);
    until = now + interval;
}

void fleet_load::record_failure(std::string_view id, target_failure how, time_point now) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    target_state& state = found->second;
    if (how == target_failure::response_failed) {
        ++state.consecutive_failures;
        m_recent_failures.emplace_back(now, id);
        adjust_local_load(id, {.failures = 1});
    }
    if (how == target_failure::unreachable || state.consecutive_failures >= 2) {
        state.backoff.begin(now);
    }
    if (how == target_failure::unreachable) {
        m_cold_targets.record_unreachable(id, now);
        record_unreachable(state.target, now);
    }
}

void fleet_load::record_unreachable(const fleet_target& target, time_point now) {
    // The local zone is exempt: callers reach this daemon over the same network paths as its
    // targets.
    if (target.availability_zone == m_options.local_zone) {
        return;
    }
    zone_state& zone = m_zones[target.availability_zone];
    zone.unreachable.insert(target.id);
    if (zone.unreachable.size() < 2) {
        return;
    }
    zone.backoff.begin(now);
    for (const auto& [id, state] : m_targets) {
        if (state.target.availability_zone == target.availability_zone) {
            m_cold_targets.record_unreachable(id, now);
        }
    }
}

void fleet_load::forget_unreachable() {
    for (auto& [id, state] : m_targets) {
        state.consecutive_failures = 0;
        state.backoff = {};
    }
    for (auto& [name, zone] : m_zones) {
        zone = {};
    }
    m_cold_targets.forget_unreachable();
}

void fleet_load::record_success(std::string_view id, time_point now) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    m_cold_targets.record_response(id, now);
    found->second.consecutive_failures = 0;
    found->second.backoff = {};
    m_zones[found->second.target.availability_zone] = {};
}

} // namespace eelgrassdoor::routing
