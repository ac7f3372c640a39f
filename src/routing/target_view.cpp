#include "routing/target_view.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// Prefix affinity applies to a target up to this multiple of the mean load (consistent hashing
/// with bounded loads).
constexpr double bounded_load_factor = 1.25;
/// Length of the prompt prefix that determines affinity.
constexpr std::size_t prefix_bytes = 256;
/// Requests per slot of the least loaded target in the local zone at which other zones are used
/// too.
constexpr double spill_ratio = 1.0;

std::uint32_t slots_of_target(const target_view::target_state& t) {
    return t.report.slots == 0 ? target_view::assumed_slots : t.report.slots;
}

double load_of(const target_view::target_state& t) {
    const std::uint32_t batch = std::min(t.report.running_batch, t.report.running);
    const double reported = t.report.running - batch + t.report.waiting;
    const double corrected = reported + t.local.sent_since_report - t.local.ended_since_report;
    return std::max<double>(corrected, t.local.in_flight);
}

picked_target to_picked(const target_view::target_state& t, bool affinity) {
    return {t.info.name, t.info.endpoint, affinity};
}

} // namespace

void target_view::set_targets(const std::vector<target_info>& targets) {
    std::map<std::string, target_state, std::less<>> next;
    for (const target_info& info : targets) {
        target_state state;
        const auto known = m_targets.find(info.name);
        if (known != m_targets.end()) {
            state = known->second;
        }
        state.info = info;
        next.emplace(info.name, std::move(state));
    }
    m_targets = std::move(next);
}

bool target_view::record_report(std::string_view target, const load_report& report) {
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || report.observed_at <= found->second.report.observed_at) {
        return false;
    }
    found->second.report = report;
    found->second.local.sent_since_report = 0;
    found->second.local.ended_since_report = 0;
    return true;
}

std::vector<target_view::candidate> target_view::candidates(const pick_request& request,
                                                            time_point now) const {
    std::vector<candidate> out;
    for (const auto& [name, t] : m_targets) {
        const bool usable = !t.info.leaving && t.info.serves.contains(request.serves) &&
                            !request.excluded.contains(name) && now >= t.failed_until;
        if (usable) {
            out.push_back({&t, load_of(t) / slots_of_target(t)});
        }
    }
    return out;
}

std::optional<picked_target> target_view::pick(const pick_request& request, time_point now,
                                               random_source& random) const {
    std::vector<candidate> all = candidates(request, now);
    if (all.empty()) {
        return std::nullopt;
    }
    switch (m_policy) {
    case pick_policy::random:
        return to_picked(*all[random.below(all.size())].target, false);
    case pick_policy::least_reported: {
        const auto least = std::ranges::min_element(all, {}, [](const candidate& c) {
            return c.target->report.running + c.target->report.waiting;
        });
        return to_picked(*least->target, false);
    }
    case pick_policy::affinity_then_least_load:
        break;
    }
    return pick_by_affinity_or_load(std::move(all), request);
}

std::optional<picked_target>
target_view::pick_by_affinity_or_load(std::vector<candidate> all,
                                      const pick_request& request) const {
    std::vector<candidate> in_zone;
    std::ranges::copy_if(all, std::back_inserter(in_zone), [this](const candidate& c) {
        return c.target->info.availability_zone == m_local_zone;
    });
    const auto ratio = [](const candidate& c) { return c.load_ratio; };
    const auto least_in_zone = std::ranges::min_element(in_zone, {}, ratio);
    const bool spill = least_in_zone == in_zone.end() || least_in_zone->load_ratio >= spill_ratio;
    const std::vector<candidate>& pool = spill ? all : in_zone;
    const candidate& least = *std::ranges::min_element(pool, {}, ratio);
    if (least.load_ratio >= target_view::max_load_ratio && !request.may_exceed_slots) {
        return std::nullopt;
    }
    double sum = 0;
    const candidate* by_affinity = nullptr;
    for (const candidate& c : pool) {
        sum += c.load_ratio;
        if (by_affinity == nullptr ||
            rendezvous_weight(request.prefix_hash, c.target->info.name) >
                rendezvous_weight(request.prefix_hash, by_affinity->target->info.name)) {
            by_affinity = &c;
        }
    }
    const double mean = sum / static_cast<double>(pool.size());
    const double one_request = 1.0 / slots_of_target(*by_affinity->target);
    const bool fits = by_affinity->load_ratio < 1 &&
                      by_affinity->load_ratio <= bounded_load_factor * mean + one_request;
    const candidate& chosen = fits ? *by_affinity : least;
    return to_picked(*chosen.target, fits);
}

bool target_view::serves(std::string_view model_or_route) const {
    return std::ranges::any_of(m_targets, [model_or_route](const auto& entry) {
        return !entry.second.info.leaving && entry.second.info.serves.contains(model_or_route);
    });
}

void target_view::record_sent(std::string_view target) {
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        ++found->second.local.in_flight;
        ++found->second.local.sent_since_report;
    }
}

void target_view::record_ended(std::string_view target, time_point sent_at) {
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    local_requests& local = found->second.local;
    local.in_flight = std::max(0, local.in_flight - 1);
    if (sent_at > found->second.report.observed_at) {
        local.sent_since_report = std::max(0, local.sent_since_report - 1);
    } else {
        ++local.ended_since_report;
    }
}

void target_view::record_failure(std::string_view target, time_point now) {
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.failed_until = now + failure_backoff;
    }
}

double target_view::estimated_load(std::string_view target) const {
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : load_of(found->second);
}

std::uint32_t target_view::slots_of(std::string_view model_or_route) const {
    std::uint32_t sum = 0;
    for (const auto& [name, t] : m_targets) {
        if (!t.info.leaving && t.info.serves.contains(model_or_route)) {
            sum += slots_of_target(t);
        }
    }
    return sum;
}

std::uint64_t prefix_hash(std::string_view prompt) {
    return stable_hash(prompt.substr(0, prefix_bytes));
}

} // namespace eelgrassdoor::routing
