#include "routing/slow_start.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// Several times the 870 targets of the design size.
constexpr std::size_t max_known_targets = 4096;
/// Part of the limit by which the shares fill; the rest is their burst.
constexpr double fill_fraction = 0.5;
/// The window over which the limit is counted.
constexpr duration limit_window = seconds(1);

/// The daemons of \p daemons that satisfy \p is_wanted, by descending rendezvous weight.
template <typename Predicate>
std::vector<std::string_view> ranked(const std::vector<sending_daemon>& daemons, std::uint64_t key,
                                     Predicate is_wanted) {
    std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
    for (const sending_daemon& each : daemons) {
        if (is_wanted(each)) {
            weighted.emplace_back(rendezvous_weight(key, each.host), each.host);
        }
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string_view> out;
    out.reserve(weighted.size());
    for (const auto& [weight, host] : weighted) {
        out.push_back(host);
    }
    return out;
}

} // namespace

void slow_start::set_limits(cold_limits limits, time_point now) {
    if (!m_configured_at) {
        m_configured_at = now;
    }
    if (limits == m_limits) {
        return;
    }
    m_limits = std::move(limits);
    ++m_daemons_generation;
}

void slow_start::set_daemons(std::vector<sending_daemon> daemons, std::string_view own_host) {
    if (daemons == m_daemons && own_host == m_own_host) {
        return;
    }
    m_daemons = std::move(daemons);
    m_own_host = own_host;
    ++m_daemons_generation;
}

const cold_limit* slow_start::limit_of(const fleet_target& target) const {
    const auto found = m_limits.find(target.service);
    return found == m_limits.end() || found->second.requests_per_second <= 0 ? nullptr
                                                                             : &found->second;
}

void slow_start::record_entry(const fleet_target& target, time_point now) {
    if (m_states.size() >= max_known_targets) {
        m_states.clear();
    }
    const bool is_new = !m_states.contains(target.id);
    target_state& state = m_states[target.id];
    state.entry_read_at = now;
    // The limits may not be known yet.
    const cold_limit* limit = limit_of(target);
    if (target.cold_remaining) {
        state.cold_until = std::max(state.cold_until, now + *target.cold_remaining);
    } else if (is_new && limit != nullptr) {
        state.cold_until = now + limit->cold_time;
    }
}

void slow_start::mark_cold(const fleet_target& target, time_point now) {
    if (const cold_limit* limit = limit_of(target)) {
        target_state& state = m_states[target.id];
        state.cold_until = std::max(state.cold_until, now + limit->cold_time);
    }
}

void slow_start::record_unreachable(std::string_view id, time_point now) {
    if (const auto found = m_states.find(id); found != m_states.end()) {
        found->second.unreachable_at = now;
        found->second.response_at.reset();
    }
}

void slow_start::forget_unreachable() {
    for (auto& [id, state] : m_states) {
        state.unreachable_at = time_point::min();
    }
}

void slow_start::record_response(std::string_view id, time_point now) {
    const auto found = m_states.find(id);
    if (found != m_states.end() && !found->second.response_at) {
        found->second.response_at = now;
    }
}

bool slow_start::is_cold(const fleet_target& target, time_point now) const {
    const cold_limit* limit = limit_of(target);
    const auto found = m_states.find(target.id);
    if (limit == nullptr || found == m_states.end()) {
        return false;
    }
    const target_state& state = found->second;
    if (now < state.cold_until) {
        return true;
    }
    const bool may_have_restarted =
        state.unreachable_at >= state.entry_read_at && state.unreachable_at != time_point::min();
    return may_have_restarted &&
           (!state.response_at || now < *state.response_at + limit->cold_time);
}

std::optional<limits::bucket_params> slow_start::own_share(const fleet_target& target,
                                                           const cold_limit& limit) const {
    const double rate = fill_fraction * limit.requests_per_second;
    const double burst = (1 - fill_fraction) * limit.requests_per_second * to_seconds(limit_window);
    // Each sender needs a burst of a whole request.
    const auto senders =
        static_cast<std::size_t>(std::clamp(burst, 1.0, static_cast<double>(max_senders)));
    const std::uint64_t key = stable_hash(target.id);
    const auto is_near = [&](const sending_daemon& each) {
        return each.availability_zone == target.availability_zone;
    };
    const std::vector<std::string_view> near = ranked(m_daemons, key, is_near);
    const std::vector<std::string_view> far =
        ranked(m_daemons, key, [&](const sending_daemon& each) { return !is_near(each); });
    // At least half of the senders are in the target's zone, so that it stays in use when the zone
    // is cut off from the others.
    const std::size_t near_senders =
        std::min(near.size(), std::max((senders + 1) / 2, senders - std::min(senders, far.size())));
    const std::size_t far_senders = std::min(far.size(), senders - near_senders);
    const auto is_own = [&](std::string_view host) { return host == m_own_host; };
    if (!std::any_of(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(near_senders),
                     is_own) &&
        !std::any_of(far.begin(), far.begin() + static_cast<std::ptrdiff_t>(far_senders), is_own)) {
        return std::nullopt;
    }
    // Also with fewer daemons than senders: this one may not know all of them.
    const auto count = static_cast<double>(senders);
    return limits::bucket_params{rate / count, std::max(1.0, burst / count)};
}

void slow_start::update_bucket(target_state& state, const fleet_target& target,
                               const cold_limit& limit, time_point now) {
    if (state.daemons_generation == m_daemons_generation) {
        return;
    }
    state.daemons_generation = m_daemons_generation;
    const std::optional<limits::bucket_params> share = own_share(target, limit);
    if (!share) {
        state.bucket.reset();
    } else if (state.bucket) {
        state.bucket->set_params(*share, now);
    } else {
        const bool may_have_sent = !m_configured_at || now - *m_configured_at < limit_window;
        state.bucket.emplace(*share, may_have_sent ? 0 : share->capacity, now);
    }
}

bool slow_start::may_send(const fleet_target& target, time_point now) {
    if (!is_cold(target, now)) {
        return true;
    }
    target_state& state = m_states[target.id];
    update_bucket(state, target, *limit_of(target), now);
    return state.bucket && state.bucket->seconds_to_next_token(now) <= 0;
}

void slow_start::record_sent(const fleet_target& target, time_point now) {
    if (!is_cold(target, now)) {
        return;
    }
    target_state& state = m_states[target.id];
    update_bucket(state, target, *limit_of(target), now);
    if (state.bucket) {
        state.bucket->take(1, true, now);
    }
}

} // namespace eelgrassdoor::routing
