#include "routing/prompt_quarantine.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// Maximum number of segments; those without crashes are dropped first.
constexpr std::size_t max_segments = 8192;
/// Crashes kept for a segment: enough that the oldest and the newest show the spread.
constexpr std::size_t max_crashes = 8;
/// Times that other daemons report are late by the delay of their digests. Only later ones are new,
/// so that reports of the same moment do not drift as daemons pass them on.
constexpr duration report_tolerance = milliseconds(250);
/// How long an answer that refutes a suspicion is reported; several digests.
constexpr duration refutation_time = seconds(5);
/// Maximum number of segments in the evidence for other daemons.
constexpr std::size_t max_reported_segments = 16;

/// How long ago the last crash on a segment was observed, or its answer if it is no longer
/// suspected.
duration latest_age(const segment_evidence& evidence) {
    duration age = evidence.served_age.value_or(duration::max());
    for (const segment_crash& crash : evidence.crashes) {
        age = std::min(age, crash.age);
    }
    return age;
}

} // namespace

prompt_quarantine::segment_state& prompt_quarantine::state_of(std::uint64_t segment) {
    if (m_segments.size() >= max_segments && !m_segments.contains(segment)) {
        std::erase_if(m_segments, [](const auto& entry) { return entry.second.crashes.empty(); });
    }
    return m_segments[segment];
}

bool prompt_quarantine::add_crash(std::uint64_t segment, const segment_crash& crash,
                                  time_point now) {
    segment_state& state = state_of(segment);
    const time_point at = now - crash.age;
    if (state.served_at && *state.served_at >= at) {
        return false;
    }
    const auto known = state.crashes.find(crash.instance);
    if (known == state.crashes.end() && state.crashes.size() >= max_crashes) {
        return false;
    }
    // A target that keeps its start time, as far as is known here, may crash again.
    if (known != state.crashes.end() && at - known->second <= report_tolerance) {
        return false;
    }
    if (state.crashes.empty()) {
        state.first_crash_at = at;
        state.trials = 0;
    }
    state.first_crash_at = std::min(state.first_crash_at, at);
    state.crashes[crash.instance] = at;
    m_is_active = m_is_active || quarantined_until(state).has_value();
    return true;
}

void prompt_quarantine::remove_refuted(segment_state& state) {
    std::erase_if(state.crashes,
                  [&](const auto& crash) { return crash.second <= *state.served_at; });
    state.first_crash_at = std::max(state.first_crash_at, *state.served_at);
    if (state.crashes.empty()) {
        state.trials = 0;
    }
}

bool prompt_quarantine::record_crash(std::span<const std::uint64_t> segments,
                                     std::uint64_t instance, time_point now) {
    std::uint32_t least_served = UINT32_MAX;
    for (const std::uint64_t segment : segments) {
        least_served = std::min(least_served, state_of(segment).served);
    }
    bool is_new = false;
    for (const std::uint64_t segment : segments) {
        if (state_of(segment).served == least_served) {
            is_new = add_crash(segment, {instance, duration::zero()}, now) || is_new;
        }
    }
    return is_new;
}

bool prompt_quarantine::record_served(std::span<const std::uint64_t> segments, time_point now) {
    bool was_suspected = false;
    for (const std::uint64_t segment : segments) {
        segment_state& state = state_of(segment);
        if (!state.crashes.empty()) {
            was_suspected = true;
            state.refutes_until = now + refutation_time;
        }
        ++state.served;
        state.served_at = now;
        state.crashes.clear();
        state.trials = 0;
    }
    return was_suspected;
}

bool prompt_quarantine::is_suspected(std::uint64_t segment) const {
    const auto found = m_segments.find(segment);
    return found != m_segments.end() && !found->second.crashes.empty();
}

void prompt_quarantine::remove_expired(time_point now) {
    for (auto& [segment, state] : m_segments) {
        std::erase_if(state.crashes,
                      [&](const auto& crash) { return now - crash.second > quarantine_time; });
    }
}

void prompt_quarantine::select_reported(std::vector<segment_evidence>& evidence) {
    if (evidence.size() <= max_reported_segments) {
        return;
    }
    std::sort(evidence.begin(), evidence.end(),
              [](const segment_evidence& a, const segment_evidence& b) {
                  return std::pair(latest_age(a), a.segment) < std::pair(latest_age(b), b.segment);
              });
    constexpr std::size_t latest = max_reported_segments / 2;
    const std::size_t others = evidence.size() - latest;
    for (std::size_t i = latest; i < max_reported_segments; ++i) {
        const std::size_t in_turn = latest + m_next_in_turn++ % others;
        // Those at the front are taken already.
        std::swap(evidence[i], evidence[std::max(i, in_turn)]);
    }
    evidence.resize(max_reported_segments);
}

std::vector<segment_evidence> prompt_quarantine::evidence(time_point now) {
    remove_expired(now);
    std::vector<segment_evidence> out;
    for (const auto& [segment, state] : m_segments) {
        if (state.crashes.empty() && state.refutes_until <= now) {
            continue;
        }
        segment_evidence each{segment, std::nullopt, now - state.first_crash_at, {}};
        if (state.served_at) {
            each.served_age = now - *state.served_at;
        }
        for (const auto& [instance, at] : state.crashes) {
            each.crashes.push_back({instance, now - at});
        }
        out.push_back(std::move(each));
    }
    select_reported(out);
    return out;
}

std::vector<std::uint64_t> prompt_quarantine::merge(std::span<const segment_evidence> evidence,
                                                    time_point now) {
    std::vector<std::uint64_t> quarantined;
    for (const segment_evidence& each : evidence) {
        segment_state& state = state_of(each.segment);
        const bool was_quarantined = quarantined_until(state).has_value();
        if (each.served_age) {
            const time_point served_at = now - *each.served_age;
            if (!state.served_at || served_at - *state.served_at > report_tolerance) {
                state.served_at = served_at;
                remove_refuted(state);
            }
        }
        for (const segment_crash& crash : each.crashes) {
            if (state.served_at && *state.served_at >= now - crash.age) {
                state.refutes_until = now + refutation_time;
            } else if (add_crash(each.segment, crash, now)) {
                state.first_crash_at = std::min(state.first_crash_at, now - each.first_crash_age);
            }
        }
        m_is_active = m_is_active || quarantined_until(state).has_value();
        if (!was_quarantined && quarantined_until(state)) {
            quarantined.push_back(each.segment);
        }
    }
    return quarantined;
}

std::optional<time_point> prompt_quarantine::quarantined_until(const segment_state& state) const {
    if (state.crashes.size() < m_rule.min_crashes) {
        return std::nullopt;
    }
    const time_point last = last_crash(state);
    if (last - state.first_crash_at < m_rule.min_spread) {
        return std::nullopt;
    }
    return last + quarantine_time;
}

time_point prompt_quarantine::last_crash(const segment_state& state) {
    return std::max_element(state.crashes.begin(), state.crashes.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->second;
}

const prompt_quarantine::segment_state*
prompt_quarantine::find_in_quarantine(std::uint64_t segment, time_point now) const {
    const auto found = m_segments.find(segment);
    if (found == m_segments.end()) {
        return nullptr;
    }
    const std::optional<time_point> until = quarantined_until(found->second);
    return until && *until > now ? &found->second : nullptr;
}

std::optional<std::uint64_t>
prompt_quarantine::find_quarantined(std::span<const std::uint64_t> segments, time_point now) const {
    for (const std::uint64_t segment : segments) {
        if (find_in_quarantine(segment, now) != nullptr) {
            return segment;
        }
    }
    return std::nullopt;
}

bool prompt_quarantine::may_try(std::span<const std::uint64_t> segments, time_point now) const {
    return std::all_of(segments.begin(), segments.end(), [&](std::uint64_t segment) {
        const segment_state* state = find_in_quarantine(segment, now);
        return state == nullptr ||
               (state->trials < max_trials && now - last_crash(*state) >= trial_interval &&
                (state->trials == 0 || now - state->tried_at >= trial_interval));
    });
}

void prompt_quarantine::record_trial(std::span<const std::uint64_t> segments, time_point now) {
    for (const std::uint64_t segment : segments) {
        if (find_in_quarantine(segment, now) != nullptr) {
            segment_state& state = m_segments[segment];
            ++state.trials;
            state.tried_at = now;
        }
    }
}

std::optional<duration> prompt_quarantine::time_left(std::span<const std::uint64_t> segments,
                                                     time_point now) const {
    std::optional<duration> left;
    for (const std::uint64_t segment : segments) {
        if (const segment_state* state = find_in_quarantine(segment, now)) {
            left = std::max(left.value_or(duration::zero()), *quarantined_until(*state) - now);
        }
    }
    return left;
}

std::size_t prompt_quarantine::quarantined_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_segments.begin(), m_segments.end(), [&](const auto& entry) {
            const std::optional<time_point> until = quarantined_until(entry.second);
            return until && *until > now;
        }));
}

} // namespace eelgrassdoor::routing
