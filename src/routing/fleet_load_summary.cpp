#include "base/text.hpp"
#include "routing/fleet_load.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

std::size_t fleet_load::cold_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
            return m_cold_targets.is_cold(entry.second.target, now);
        }));
}

std::size_t fleet_load::limited_count() const {
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
            return m_request_limits.limit_of(entry.second.instance).has_value();
        }));
}

std::string fleet_load::name_of(const target_instance& instance) const {
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
        return entry.second.instance.target == instance.target;
    });
    return found == m_targets.end() ? std::to_string(instance.target) : found->first;
}

std::string fleet_load::describe(std::string_view service, time_point now) {
    expire_peers(now);
    int targets = 0;
    int backing_off = 0;
    int degraded = 0;
    int evacuated = 0;
    int cold = 0;
    int limited = 0;
    int slots = 0;
    target_load load;
    for (const auto& [id, state] : m_targets) {
        if (state.target.service != service || state.target.leaving) {
            continue;
        }
        const target_load at = state.load();
        ++targets;
        backing_off += is_backing_off(state, now) ? 1 : 0;
        degraded += state.is_degraded() ? 1 : 0;
        evacuated += m_evacuated_zones.contains(state.target.availability_zone) ? 1 : 0;
        cold += m_cold_targets.is_cold(state.target, now) ? 1 : 0;
        limited += m_request_limits.limit_of(state.instance) ? 1 : 0;
        slots += state.target.slots;
        load.online += at.online;
        load.batch += at.batch;
    }
    duration oldest{};
    for (const auto& [name, peer] : m_peers) {
        oldest = std::max(oldest, now - peer.received_at);
    }
    return str_cat("targets ", targets, ", in backoff ", backing_off, ", degraded ", degraded,
                   ", evacuated ", evacuated, ", cold ", cold, ", limited ", limited, ", slots ",
                   slots, ", online ", load.online, ", batch ", load.batch, ", reporting daemons ",
                   m_peers.size(), ", oldest report ",
                   std::chrono::duration_cast<milliseconds>(oldest).count(), " ms");
}

online_places fleet_load::count_places(std::string_view service,
                                       const target_constraints& constraints, time_point now) {
    online_places out{.daemons = m_peers.size() + 1};
    for (const target_state* state : candidates(service, constraints, work_kind::online, now)) {
        out.places += concurrency_limit(*state);
        out.held += state->local.online;
        const int online = state->load().online;
        out.free += std::max(0, concurrency_limit(*state) - online);
        out.idle_targets += 2 * online <= state->target.slots ? 1 : 0;
    }
    return out;
}

std::set<std::string, std::less<>> fleet_load::versions_of(std::string_view service) const {
    std::set<std::string, std::less<>> versions;
    const auto listed = m_by_service.find(service);
    if (listed == m_by_service.end()) {
        return versions;
    }
    for (const target_state* state : listed->second) {
        if (!state->target.leaving && !state->is_outdated &&
            !versions.contains(state->target.version)) {
            versions.insert(state->target.version);
        }
    }
    return versions;
}

} // namespace eelgrassdoor::routing
