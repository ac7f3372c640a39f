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
    if (targets == m_listed) {
        return;
    }
    m_listed = targets;
    std::map<std::string, target_state, std::less<>> next;
    std::set<std::uint64_t> hashes;
    for (fleet_target& target : targets) {
        const std::uint64_t hash = stable_hash(target.id);
        hashes.insert(hash);
        const auto known = m_targets.find(target.id);
        target_state state;
        if (known != m_targets.end() && known->second.target.started_at == target.started_at) {
            state.broken_answers = known->second.broken_answers;
            state.resting = known->second.resting;
        }
        if (const auto own = m_own.find(target.id); own != m_own.end()) {
            state.own = own->second;
        }
        target.leaving = target.leaving || m_leaving.contains({hash, target.started_at});
        state.told = &m_told[hash];
        state.zone = &m_zones[target.availability_zone];
        std::string id = target.id;
        state.target = std::move(target);
        next.emplace(std::move(id), std::move(state));
    }
    m_targets = std::move(next);
    std::erase_if(m_told, [&](const auto& entry) {
        return entry.second == target_share{} && !hashes.contains(entry.first);
    });
    m_by_service.clear();
    for (const auto& [id, state] : m_targets) {
        m_by_service[state.target.service].push_back(&state);
    }
}

const fleet_target* fleet_load::find(std::string_view id) const {
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second.target;
}

bool fleet_load::note_leaving(const leaving_start& start) {
    const bool news = m_leaving.note(start);
    if (news) {
        for (auto& [id, state] : m_targets) {
            const leaving_start listed{stable_hash(id), state.target.started_at};
            state.target.leaving = state.target.leaving || m_leaving.contains(listed);
        }
    }
    return news;
}

std::vector<leaving_start> fleet_load::leaving() const {
    std::vector<leaving_start> out;
    for (const auto& [id, state] : m_targets) {
        const leaving_start listed{stable_hash(id), state.target.started_at};
        if (m_leaving.contains(listed)) {
            out.push_back(listed);
        }
    }
    return out;
}

void fleet_load::add_told(const std::vector<told_share>& loads, int sign) {
    for (const told_share& each : loads) {
        target_share& sum = m_told[each.target];
        sum.online += sign * each.share.online;
        sum.batch += sign * each.share.batch;
        sum.stalled += sign * each.share.stalled;
        sum.broken += sign * each.share.broken;
    }
}

void fleet_load::note_peer(std::string_view peer, std::vector<told_share> loads, time_point now) {
    peer_load& known = m_peers[std::string(peer)];
    add_told(known.loads, -1);
    add_told(loads, 1);
    known = {std::move(loads), now};
}

void fleet_load::forget_peer(std::string_view peer) {
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        add_told(found->second.loads, -1);
        m_peers.erase(found);
    }
}

void fleet_load::expire_peers(time_point now) {
    if (now < m_next_expiry) {
        return;
    }
    time_point oldest = now;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heard_at > peer_load_lifetime) {
            add_told(it->second.loads, -1);
            it = m_peers.erase(it);
        } else {
            oldest = std::min(oldest, it->second.heard_at);
            ++it;
        }
    }
    m_next_expiry = oldest + peer_load_lifetime;
}

void fleet_load::change_own(std::string_view id, target_share by) {
    target_share& own = m_own[std::string(id)];
    own.online += by.online;
    own.batch += by.batch;
    own.stalled += by.stalled;
    own.broken += by.broken;
    if (const auto state = m_targets.find(id); state != m_targets.end()) {
        state->second.own = own;
    }
    if (own == target_share{}) {
        m_own.erase(std::string(id));
    }
}

const load_by_target& fleet_load::own(time_point now) {
    expire_broken(now);
    return m_own;
}

void fleet_load::expire_broken(time_point now) {
    while (!m_broken.empty() && now - m_broken.front().first > broken_memory) {
        change_own(m_broken.front().second, {.broken = -1});
        m_broken.pop_front();
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
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    target_state& state = found->second;
    if (how == target_failure::broke_off) {
        ++state.broken_answers;
        m_broken.emplace_back(now, id);
        change_own(id, {.broken = 1});
    }
    if (how == target_failure::unreachable || state.broken_answers >= 2) {
        state.resting.begin(now);
    }
    if (how == target_failure::unreachable) {
        note_unreachable_zone(state.target, now);
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
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    found->second.broken_answers = 0;
    found->second.resting = {};
    m_zones[found->second.target.availability_zone] = {};
}

target_share fleet_load::total(std::string_view id, time_point now) {
    expire_peers(now);
    target_share sum;
    if (const auto own = m_own.find(id); own != m_own.end()) {
        sum = own->second;
    }
    if (const auto told = m_told.find(stable_hash(id)); told != m_told.end()) {
        sum.online += told->second.online;
        sum.batch += told->second.batch;
        sum.stalled += told->second.stalled;
        sum.broken += told->second.broken;
    }
    return sum;
}

bool fleet_load::is_resting(const target_state& state, time_point now) {
    return now < state.zone->resting.until || now < state.resting.until;
}

const std::vector<const fleet_load::target_state*>&
fleet_load::candidates(std::string_view service, const excluded_ids& excluded, time_point now) {
    expire_peers(now);
    expire_broken(now);
    m_fit.clear();
    m_ailing.clear();
    m_resting.clear();
    const auto listed = m_by_service.find(service);
    if (listed == m_by_service.end()) {
        return m_fit;
    }
    for (const target_state* state : listed->second) {
        if (state->target.leaving || excluded.contains(state->target.id)) {
            continue;
        }
        if (is_resting(*state, now)) {
            m_resting.push_back(state);
        } else {
            (state->is_ailing() ? m_ailing : m_fit).push_back(state);
        }
    }
    const std::size_t most_ailing =
        std::max<std::size_t>(1, listed->second.size() / max_ailing_part);
    if (m_ailing.size() > most_ailing) {
        m_fit.insert(m_fit.end(), m_ailing.begin(), m_ailing.end());
    }
    if (!m_fit.empty()) {
        return m_fit;
    }
    return m_ailing.empty() ? m_resting : m_ailing;
}

std::optional<fleet_target> fleet_load::pick_online(std::string_view service,
                                                    const excluded_ids& excluded, time_point now,
                                                    random_source& random) {
    const fleet_target* best = nullptr;
    double best_cost = 0;
    for (const target_state* state : candidates(service, excluded, now)) {
        const fleet_target& target = state->target;
        const target_share load = state->load();
        if (load.online >= target.slots + m_options.max_waiting_inside) {
            continue;
        }
        double cost =
            static_cast<double>(load.online) / target.slots + tie_spread * random.uniform();
        cost += target.availability_zone == m_options.own_zone ? 0 : other_zone_cost;
        cost += load.online + load.batch >= target.slots ? stop_batch_cost : 0;
        if (best == nullptr || cost < best_cost) {
            best = &target;
            best_cost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<fleet_target> fleet_load::pick_batch(std::string_view service,
                                                   const excluded_ids& excluded, time_point now,
                                                   random_source& random,
                                                   const may_start_fn& may_start) {
    const fleet_target* best = nullptr;
    double best_free = 0;
    for (const target_state* state : candidates(service, excluded, now)) {
        const fleet_target& target = state->target;
        const target_share load = state->load();
        const int free = target.slots - m_options.batch_reserve - load.online - load.batch;
        const bool allowed = may_start(target, free);
        if (free <= 0 || !allowed) {
            continue;
        }
        const double worth = free + random.uniform();
        if (best == nullptr || worth > best_free) {
            best = &target;
            best_free = worth;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

int fleet_load::batch_to_stop(std::string_view id, std::string_view own_name, time_point now) {
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
    const std::uint64_t hash = stable_hash(id);
    for (const auto& [name, peer] : m_peers) {
        const auto theirs = std::find_if(peer.loads.begin(), peer.loads.end(),
                                         [&](const auto& each) { return each.target == hash; });
        if (theirs == peer.loads.end()) {
            continue;
        }
        const int held = theirs->share.batch;
        const bool before =
            held > own->second.batch || (held == own->second.batch && name < own_name);
        excess -= before ? held : 0;
    }
    return std::clamp(excess, 0, own->second.batch);
}

std::string fleet_load::describe(std::string_view service, time_point now) {
    expire_peers(now);
    int targets = 0;
    int resting = 0;
    int ailing = 0;
    int slots = 0;
    target_share load;
    for (const auto& [id, state] : m_targets) {
        if (state.target.service != service || state.target.leaving) {
            continue;
        }
        const target_share at = state.load();
        ++targets;
        resting += is_resting(state, now) ? 1 : 0;
        ailing += state.is_ailing() ? 1 : 0;
        slots += state.target.slots;
        load.online += at.online;
        load.batch += at.batch;
    }
    duration oldest{};
    for (const auto& [name, peer] : m_peers) {
        oldest = std::max(oldest, now - peer.heard_at);
    }
    return str_cat("targets ", targets, ", resting ", resting, ", ailing ", ailing, ", slots ",
                   slots, ", online ", load.online, ", batch ", load.batch, ", daemons heard ",
                   m_peers.size(), ", oldest word ",
                   std::chrono::duration_cast<milliseconds>(oldest).count(), " ms");
}

bool fleet_load::serves(std::string_view service) const {
    const auto listed = m_by_service.find(service);
    return listed != m_by_service.end() &&
           std::any_of(listed->second.begin(), listed->second.end(),
                       [](const target_state* state) { return !state->target.leaving; });
}

} // namespace eelgrassdoor::routing
