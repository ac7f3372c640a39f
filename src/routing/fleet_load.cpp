#include "routing/fleet_load.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::routing {

namespace {

/// Cost of using another zone, in requests per slot: a target in the local zone is preferred as
/// long as it is not a whole request busier.
constexpr double cross_zone_cost = 0.08;
/// Cost of using a target that limits its requests, in requests per slot: its permits are kept
/// until the other targets are in use to this part.
constexpr double limited_cost = 0.3;
/// Cost of using a target whose entry is out of date, in requests per slot: above that of any load
/// with which a target is picked, so that it serves when the others are full.
constexpr double outdated_cost = 100;
/// Cost of stopping a batch stream, in requests per slot.
constexpr double preemption_cost = 0.05;
/// Range of the random cost that spreads the picks of daemons with the same view of the load, in
/// requests per slot.
constexpr double tie_break_jitter = 0.02;

/// The target of \p state with what is known of the process that it runs.
template <typename State> fleet_target as_running(const State& state) {
    fleet_target out = state.target;
    if (state.is_outdated) {
        out.version = unknown_version;
    }
    return out;
}

/// Whether a daemon that reported \p before has fewer online requests at any target by \p after.
bool lowers_online_load(const std::vector<peer_target_load>& before,
                        const std::vector<peer_target_load>& after) {
    return std::ranges::any_of(before, [&](const peer_target_load& each) {
        const auto now = std::ranges::find(after, each.target, &peer_target_load::target);
        return each.counts.online > (now == after.end() ? 0 : now->counts.online);
    });
}

} // namespace

void fleet_load::set_targets(std::vector<fleet_target> targets) {
    if (targets == m_listed) {
        return;
    }
    m_listed = targets;
    list_capacities();
    std::map<std::string, target_state, std::less<>> next;
    std::set<std::uint64_t> hashes;
    std::map<std::uint64_t, std::uint64_t> started_at;
    for (fleet_target& target : targets) {
        const std::uint64_t hash = stable_hash(target.id);
        hashes.insert(hash);
        started_at[hash] = target.started_at;
        const auto known = m_targets.find(target.id);
        target_state state;
        if (known != m_targets.end() && known->second.target.started_at == target.started_at) {
            state.consecutive_failures = known->second.consecutive_failures;
            state.backoff = known->second.backoff;
            state.is_outdated = known->second.is_outdated;
        }
        if (const auto local = m_local_load.find(target.id); local != m_local_load.end()) {
            state.local = local->second;
        }
        target.leaving = target.leaving || m_leaving.contains({hash, target.started_at});
        state.peer_total = &m_peer_totals[hash];
        state.zone = &m_zones[target.availability_zone];
        std::string id = target.id;
        state.instance = {hash, target.started_at};
        state.capacity = m_capacities.find(hash);
        state.target = std::move(target);
        next.emplace(std::move(id), std::move(state));
    }
    m_targets = std::move(next);
    m_request_limits.set_listed(std::move(started_at));
    std::erase_if(m_peer_totals, [&](const auto& entry) {
        return entry.second == target_load{} && !hashes.contains(entry.first);
    });
    m_by_service.clear();
    for (const auto& [id, state] : m_targets) {
        m_by_service[state.target.service].push_back(&state);
    }
}

void fleet_load::set_evacuated_zones(zone_set zones, time_point now) {
    for (const auto& [id, state] : m_targets) {
        const std::string& zone = state.target.availability_zone;
        if (m_evacuated_zones.contains(zone) && !zones.contains(zone)) {
            m_cold_targets.mark_cold(state.target, now);
        }
    }
    m_evacuated_zones = std::move(zones);
}

const fleet_target* fleet_load::find(std::string_view id) const {
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second.target;
}

std::vector<fleet_target> fleet_load::draw_others(std::string_view id, std::size_t count,
                                                  random_source& random) const {
    std::vector<const fleet_target*> others;
    for (const auto& [each, state] : m_targets) {
        if (each != id && !state.target.leaving) {
            others.push_back(&state.target);
        }
    }
    std::vector<fleet_target> out;
    while (!others.empty() && out.size() < count) {
        const auto drawn =
            others.begin() + static_cast<std::ptrdiff_t>(random.below(others.size()));
        out.push_back(**drawn);
        others.erase(drawn);
    }
    return out;
}

bool fleet_load::mark_leaving(const target_instance& instance) {
    const bool is_new = m_leaving.add(instance);
    if (is_new) {
        for (auto& [id, state] : m_targets) {
            state.target.leaving = state.target.leaving || m_leaving.contains(state.instance);
        }
    }
    return is_new;
}

bool fleet_load::mark_outdated(std::string_view id, std::uint64_t started_at) {
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.target.started_at != started_at) {
        return false;
    }
    return !std::exchange(found->second.is_outdated, true);
}

std::vector<target_instance> fleet_load::leaving() const {
    std::vector<target_instance> out;
    for (const auto& [id, state] : m_targets) {
        if (m_leaving.contains(state.instance)) {
            out.push_back(state.instance);
        }
    }
    return out;
}

void fleet_load::add_peer_loads(const std::vector<peer_target_load>& loads, int sign) {
    for (const peer_target_load& each : loads) {
        target_load& sum = m_peer_totals[each.target];
        sum.online += sign * each.counts.online;
        sum.batch += sign * each.counts.batch;
        sum.stalled += sign * each.counts.stalled;
        sum.failures += sign * each.counts.failures;
    }
}

void fleet_load::update_peer_load(std::string_view peer, std::vector<peer_target_load> loads,
                                  time_point now) {
    peer_load& known = m_peers[std::string(peer)];
    const bool has_room = on_room && lowers_online_load(known.loads, loads);
    add_peer_loads(known.loads, -1);
    add_peer_loads(loads, 1);
    known = {std::move(loads), now};
    if (has_room) {
        on_room(room_source::peer_report);
    }
}

void fleet_load::remove_peer(std::string_view peer) {
    m_capacities.remove_peer(peer);
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        add_peer_loads(found->second.loads, -1);
        m_peers.erase(found);
    }
}

void fleet_load::expire_peers(time_point now) {
    if (now < m_next_expiry) {
        return;
    }
    time_point oldest = now;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.received_at > peer_load_lifetime) {
            add_peer_loads(it->second.loads, -1);
            m_capacities.remove_peer(it->first);
            it = m_peers.erase(it);
        } else {
            oldest = std::min(oldest, it->second.received_at);
            ++it;
        }
    }
    m_next_expiry = oldest + peer_load_lifetime;
}

void fleet_load::adjust_local_load(std::string_view id, target_load by) {
    target_load& local = m_local_load[std::string(id)];
    local.online += by.online;
    local.batch += by.batch;
    local.stalled += by.stalled;
    local.failures += by.failures;
    if (const auto state = m_targets.find(id); state != m_targets.end()) {
        state->second.local = local;
    }
    if (local == target_load{}) {
        m_local_load.erase(std::string(id));
    }
}

const load_by_target& fleet_load::local_load(time_point now) {
    expire_failures(now);
    return m_local_load;
}

target_load fleet_load::total(std::string_view id, time_point now) {
    expire_peers(now);
    target_load sum;
    if (const auto local = m_local_load.find(id); local != m_local_load.end()) {
        sum = local->second;
    }
    if (const auto peer_total = m_peer_totals.find(stable_hash(id));
        peer_total != m_peer_totals.end()) {
        sum.online += peer_total->second.online;
        sum.batch += peer_total->second.batch;
        sum.stalled += peer_total->second.stalled;
        sum.failures += peer_total->second.failures;
    }
    return sum;
}

bool fleet_load::is_backing_off(const target_state& state, time_point now) {
    return now < state.zone->backoff.until || now < state.backoff.until;
}

bool fleet_load::is_eligible(const target_state& state, work_kind kind, time_point now) {
    const fleet_target& target = state.target;
    if (target.leaving || m_evacuated_zones.contains(target.availability_zone)) {
        return false;
    }
    if (m_request_limits.is_denied(state.instance, kind, now)) {
        return false;
    }
    return kind == work_kind::online ? m_cold_targets.may_send(target, now)
                                     : !m_cold_targets.is_cold(target, now);
}

const std::vector<const fleet_load::target_state*>&
fleet_load::candidates(std::string_view service, const target_constraints& constraints,
                       work_kind kind, time_point now) {
    expire_peers(now);
    expire_failures(now);
    m_capacities.expire(now);
    m_healthy.clear();
    m_degraded.clear();
    m_backing_off.clear();
    const auto listed = m_by_service.find(service);
    if (listed == m_by_service.end()) {
        return m_healthy;
    }
    std::size_t of_version = 0;
    for (const target_state* state : listed->second) {
        const fleet_target& target = state->target;
        if (constraints.version && (state->is_outdated || target.version != *constraints.version)) {
            continue;
        }
        ++of_version;
        if (constraints.excluded.contains(target.id) || !is_eligible(*state, kind, now)) {
            continue;
        }
        if (is_backing_off(*state, now)) {
            m_backing_off.push_back(state);
        } else {
            (state->is_degraded() ? m_degraded : m_healthy).push_back(state);
        }
    }
    const std::size_t max_degraded = std::max<std::size_t>(1, of_version / targets_per_degraded);
    if (m_degraded.size() > max_degraded) {
        m_healthy.insert(m_healthy.end(), m_degraded.begin(), m_degraded.end());
    }
    if (!m_healthy.empty()) {
        return m_healthy;
    }
    return m_degraded.empty() ? m_backing_off : m_degraded;
}

std::optional<fleet_target> fleet_load::pick_online(std::string_view service,
                                                    const target_constraints& constraints,
                                                    time_point now, random_source& random) {
    const target_state* best = nullptr;
    double best_cost = 0;
    for (const target_state* state : candidates(service, constraints, work_kind::online, now)) {
        const fleet_target& target = state->target;
        const target_load load = state->load();
        if (load.online >= concurrency_limit(*state)) {
            continue;
        }
        double cost = request_cost(*state, load) + tie_break_jitter * random.uniform();
        cost += target.availability_zone == m_options.local_zone ? 0 : cross_zone_cost;
        cost += load.online + load.batch >= usable_slots(*state) ? preemption_cost : 0;
        cost += m_request_limits.limit_of(state->instance) ? limited_cost : 0;
        cost += state->is_outdated ? outdated_cost : 0;
        if (best == nullptr || cost < best_cost) {
            best = state;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    m_cold_targets.record_sent(best->target, now);
    return as_running(*best);
}

std::optional<fleet_target> fleet_load::pick_batch(std::string_view service,
                                                   const target_constraints& constraints,
                                                   time_point now, random_source& random,
                                                   const may_start_fn& may_start) {
    const target_state* best = nullptr;
    double best_score = 0;
    for (const target_state* state : candidates(service, constraints, work_kind::batch, now)) {
        const fleet_target& target = state->target;
        const target_load load = state->load();
        const int free = usable_slots(*state) - m_options.batch_reserve - load.online - load.batch;
        const bool allowed = may_start(target, free);
        if (free <= 0 || !allowed) {
            continue;
        }
        const double score =
            free + random.uniform() - (state->is_outdated ? outdated_cost * target.slots : 0);
        if (best == nullptr || score > best_score) {
            best = state;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(as_running(*best));
}

int fleet_load::batch_streams_to_preempt(std::string_view id, std::string_view local_name,
                                         time_point now) {
    const fleet_target* target = find(id);
    const auto local = m_local_load.find(id);
    if (target == nullptr || local == m_local_load.end() || local->second.batch == 0) {
        return 0;
    }
    const target_load load = total(id, now);
    int excess = load.online + load.batch - target->slots;
    if (excess <= 0) {
        return 0;
    }
    // Daemons with more streams at the target, or with equally many and a lesser name, stop first.
    const std::uint64_t hash = stable_hash(id);
    for (const auto& [name, peer] : m_peers) {
        const auto theirs = std::find_if(peer.loads.begin(), peer.loads.end(),
                                         [&](const auto& each) { return each.target == hash; });
        if (theirs == peer.loads.end()) {
            continue;
        }
        const int held = theirs->counts.batch;
        const bool before =
            held > local->second.batch || (held == local->second.batch && name < local_name);
        excess -= before ? held : 0;
    }
    return std::clamp(excess, 0, local->second.batch);
}

bool fleet_load::serves(std::string_view service) const {
    const auto listed = m_by_service.find(service);
    return listed != m_by_service.end() &&
           std::any_of(listed->second.begin(), listed->second.end(),
                       [](const target_state* state) { return !state->target.leaving; });
}

bool fleet_load::serves(std::string_view service, std::string_view version) const {
    const auto listed = m_by_service.find(service);
    return listed != m_by_service.end() && std::any_of(listed->second.begin(), listed->second.end(),
                                                       [version](const target_state* state) {
                                                           return !state->target.leaving &&
                                                                  !state->is_outdated &&
                                                                  state->target.version == version;
                                                       });
}

} // namespace eelgrassdoor::routing
