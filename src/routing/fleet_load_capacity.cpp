#include "base/digest.hpp"
#include "routing/fleet_load.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassdoor::routing {

namespace {

/// Speed from which a target holds its full queue. A request that queues at a slower one would wait
/// longer than another target's whole queue takes.
constexpr double full_queue_speed = 0.7;

} // namespace

void fleet_load::list_capacities() {
    std::vector<capacity_target> listed;
    listed.reserve(m_listed.size());
    for (const fleet_target& target : m_listed) {
        listed.push_back({stable_hash(target.id), target.started_at, target.service, target.slots});
    }
    m_capacities.set_listed(listed);
}

void fleet_load::record_event_gap(std::string_view id, duration gap, time_point now) {
    expire_peers(now);
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    const target_load load = found->second.load();
    m_capacities.record_gap(found->second.instance.target, load.online + load.batch, gap, now);
}

int fleet_load::concurrency_limit(const target_state& state) const {
    const int full = state.target.slots + m_options.max_queued_at_target;
    const capacity_figure& capacity = *state.capacity;
    if (capacity.is_neutral()) {
        return full;
    }
    const double part = std::min(1.0, capacity.speed / full_queue_speed);
    int limit = static_cast<int>(std::ceil(full * part));
    limit = std::min(limit, capacity.pace_limit.value_or(full));
    return std::clamp(limit, std::min(target_capacity::min_pace_limit, full), full);
}

double fleet_load::request_cost(const target_state& state, const target_load& load) {
    const double slots = state.target.slots;
    const double speed = state.capacity->speed;
    // The first case is the second with the speed 1, but exact.
    return speed == 1 ? load.online / slots : (load.online + 1) / (slots * speed) - 1 / slots;
}

} // namespace eelgrassdoor::routing
