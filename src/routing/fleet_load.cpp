#include "routing/fleet_load.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::routing {

namespace {

/// What one more request costs at a target in another zone, in requests for each slot: a target of
/// the own zone is preferred as long as it is not a whole request busier.
constexpr double other_zone_cost = 0.08;
/// What stopping a batch stream costs, in the same unit.
constexpr double stop_batch_cost = 0.05;
/// Spreads the picks of daemons that see the same loads.
constexpr double tie_spread = 0.02;

} // namespace

void fleet_load::set_targets(std::vector<fleet_target> targets) {
    std::map<std::string, fleet_target, std::less<>> next;
    for (fleet_target& target : targets) {
        const auto known = m_targets.find(target.id);
        if (known != m_targets.end() && known->second.started_at != target.started_at) {
            m_failures.erase(target.id);
        }
        std::string id = target.id;
        next.emplace(std::move(id), std::move(target));
    }
    std::erase_if(m_failures, [&](const auto& entry) { return !next.contains(entry.first); });
    m_targets = std::move(next);
    m_ids_by_hash.clear();
    for (const auto& [id, target] : m_targets) {
        m_ids_by_hash[stable_hash(id)] = id;
    }
}

const std::string* fleet_load::find_hashed(std::uint64_t hash) const {
    const auto found = m_ids_by_hash.find(hash);
    return found == m_ids_by_hash.end() ? nullptr : &found->second;
}

const fleet_target* fleet_load::find(std::string_view id) const {
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

void fleet_load::note_peer(std::string_view peer, load_by_target loads, time_point now) {
    m_peers[std::string(peer)] = {std::move(loads), now};
}

void fleet_load::release(std::string_view id, int target_share::*kind) {
    const auto found = m_own.find(id);
    if (found == m_own.end()) {
        return;
    }
    --(found->second.*kind);
    if (found->second == target_share{}) {
        m_own.erase(found);
    }
}

void fleet_load::rest::begin(time_point now) {
    if (now < until) {
        return;
    }
    backoff = std::clamp(2 * backoff, first_backoff, longest_backoff);
    until = now + backoff;
}

void fleet_load::note_failed(std::string_view id, target_failure how, time_point now) {
    failure_state& state = m_failures[std::string(id)];
    state.broken_answers += how == target_failure::broke_off ? 1 : 0;
    if (how == target_failure::unreachable || state.broken_answers >= 2) {
        state.resting.begin(now);
    }
    const fleet_target* target = find(id);
    if (how == target_failure::unreachable && target != nullptr) {
        note_unreachable_zone(*target, now);
    }
}

void fleet_load::note_unreachable_zone(const fleet_target& target, time_point now) {
    // Targets of the own zone are reached by the same paths as callers reach this daemon.
    if (target.availability_zone == m_options.own_zone) {
        return;
    }
    zone_state& zone = m_zones[target.availability_zone];
    zone.unreachable.insert(target.id);
    if (zone.unreachable.size() >= 2) {
        zone.resting.begin(now);
    }
}

void fleet_load::note_answered(std::string_view id) {
    const auto found = m_failures.find(id);
    if (found != m_failures.end()) {
        m_failures.erase(found);
    }
    if (const fleet_target* target = find(id)) {
        m_zones.erase(target->availability_zone);
    }
}

target_share fleet_load::total(std::string_view id, time_point now) const {
    target_share sum;
    const auto add = [&](const load_by_target& loads) {
        const auto found = loads.find(id);
        if (found != loads.end()) {
            sum.online += found->second.online;
            sum.batch += found->second.batch;
        }
    };
    add(m_own);
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.heard_at <= peer_load_lifetime) {
            add(peer.loads);
        }
    }
    return sum;
}

bool fleet_load::is_resting(const fleet_target& target, time_point now) const {
    const auto zone = m_zones.find(target.availability_zone);
    if (zone != m_zones.end() && now < zone->second.resting.until) {
        return true;
    }
    const auto failed = m_failures.find(target.id);
    return failed != m_failures.end() && now < failed->second.resting.until;
}

std::vector<const fleet_target*>
fleet_load::candidates(std::string_view service, const std::set<std::string, std::less<>>& excluded,
                       time_point now) const {
    std::vector<const fleet_target*> fit;
    std::vector<const fleet_target*> resting;
    for (const auto& [id, target] : m_targets) {
        if (target.leaving || target.service != service || excluded.contains(id)) {
            continue;
        }
        (is_resting(target, now) ? resting : fit).push_back(&target);
    }
    return fit.empty() ? resting : fit;
}

std::optional<fleet_target>
fleet_load::pick_online(std::string_view service,
                        const std::set<std::string, std::less<>>& excluded, time_point now,
                        random_source& random) const {
    const fleet_target* best = nullptr;
    double best_cost = 0;
    for (const fleet_target* target : candidates(service, excluded, now)) {
        const target_share load = total(target->id, now);
        if (load.online >= target->slots + m_options.max_waiting_inside) {
            continue;
        }
        double cost = static_cast<double>(load.online) / target->slots + tie_spread * random.unit();
        cost += target->availability_zone == m_options.own_zone ? 0 : other_zone_cost;
        cost += load.online + load.batch >= target->slots ? stop_batch_cost : 0;
        if (best == nullptr || cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<fleet_target>
fleet_load::pick_batch(std::string_view service, const std::set<std::string, std::less<>>& excluded,
                       time_point now, random_source& random) const {
    const fleet_target* best = nullptr;
    double best_free = 0;
    for (const fleet_target* target : candidates(service, excluded, now)) {
        const target_share load = total(target->id, now);
        const int free = target->slots - m_options.batch_reserve - load.online - load.batch;
        if (free <= 0) {
            continue;
        }
        const double worth = free + random.unit();
        if (best == nullptr || worth > best_free) {
            best = target;
            best_free = worth;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

int fleet_load::batch_to_stop(std::string_view id, std::string_view own_name,
                              time_point now) const {
    const fleet_target* target = find(id);
    const auto own = m_own.find(id);
    if (target == nullptr || own == m_own.end() || own->second.batch == 0) {
        return 0;
    }
    const target_share load = total(id, now);
    int excess = load.online + load.batch - target->slots;
    if (excess <= 0) {
        return 0;
    }
    // Daemons that hold more streams there, or as many and an earlier name, make room first.
    for (const auto& [name, peer] : m_peers) {
        const auto theirs = peer.loads.find(id);
        if (theirs == peer.loads.end() || now - peer.heard_at > peer_load_lifetime) {
            continue;
        }
        const int held = theirs->second.batch;
        const bool before =
            held > own->second.batch || (held == own->second.batch && name < own_name);
        excess -= before ? held : 0;
    }
    return std::clamp(excess, 0, own->second.batch);
}

std::string fleet_load::describe(std::string_view service, time_point now) const {
    int targets = 0;
    int resting = 0;
    int slots = 0;
    target_share load;
    for (const auto& [id, target] : m_targets) {
        if (target.service != service || target.leaving) {
            continue;
        }
        const target_share at = total(id, now);
        ++targets;
        resting += is_resting(target, now) ? 1 : 0;
        slots += target.slots;
        load.online += at.online;
        load.batch += at.batch;
    }
    duration oldest{};
    for (const auto& [name, peer] : m_peers) {
        oldest = std::max(oldest, now - peer.heard_at);
    }
    return str_cat("targets ", targets, ", resting ", resting, ", slots ", slots, ", online ",
                   load.online, ", batch ", load.batch, ", daemons heard ", m_peers.size(),
                   ", oldest word ", std::chrono::duration_cast<milliseconds>(oldest).count(),
                   " ms");
}

bool fleet_load::serves(std::string_view service) const {
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
        return !entry.second.leaving && entry.second.service == service;
    });
}

} // namespace eelgrassdoor::routing
