#include "routing/target_limits.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// Ages in reports are outdated by the time that a digest takes through the gateways between zones.
/// Only what is newer by more than this counts, so that reports of one response do not drift as
/// daemons pass them on.
constexpr duration report_tolerance = milliseconds(250);
/// How long the end of a limit is reported; several digests.
constexpr duration end_report_time = seconds(5);

} // namespace

bool target_limits::limit_state::is_reported(time_point now) const {
    return limit() || (changed_at != time_point::min() && now - changed_at < end_report_time);
}

const target_limits::limit_state* target_limits::find(const target_instance& instance) const {
    const auto found = m_states.find(instance.target);
    return found == m_states.end() || found->second.started_at != instance.started_at
               ? nullptr
               : &found->second;
}

target_limits::limit_state* target_limits::find_or_create(const target_instance& instance) {
    const auto listed = m_listed.find(instance.target);
    const bool is_listed = listed != m_listed.end() && listed->second == instance.started_at;
    if (listed != m_listed.end() && !is_listed) {
        return nullptr;
    }
    if (m_states.size() >= max_targets && !m_states.contains(instance.target)) {
        std::erase_if(m_states, [](const auto& entry) { return !entry.second.limit(); });
    }
    limit_state& state = m_states[instance.target];
    const bool is_other = state.started_at != instance.started_at;
    if (is_other && (is_listed || state.started_at < instance.started_at)) {
        state = {.started_at = instance.started_at};
    }
    return state.started_at == instance.started_at ? &state : nullptr;
}

bool target_limits::record_response(const target_instance& instance, std::optional<double> limit,
                                    time_point sent_at, time_point now) {
    if (!limit && find(instance) == nullptr) {
        return false;
    }
    limit_state* state = find_or_create(instance);
    if (state == nullptr) {
        return false;
    }
    const std::optional<double> before = state->limit();
    if (limit) {
        state->requests_per_second = *limit;
        state->named_at = now;
    } else {
        state->ended_at = std::max(state->ended_at, sent_at);
    }
    const bool changed = state->limit() != before;
    state->changed_at = changed ? now : state->changed_at;
    return changed;
}

std::optional<double> target_limits::limit_of(const target_instance& instance) const {
    const limit_state* state = find(instance);
    return state == nullptr ? std::nullopt : state->limit();
}

std::vector<target_limit_report> target_limits::reports(time_point now) {
    std::vector<target_limit_report> out;
    auto next = m_states.upper_bound(m_last_reported);
    for (std::size_t i = 0; i < m_states.size() && out.size() < max_reports; ++i, ++next) {
        next = next == m_states.end() ? m_states.begin() : next;
        const limit_state& state = next->second;
        if (!state.is_reported(now)) {
            continue;
        }
        target_limit_report report{.instance = {next->first, state.started_at},
                                   .requests_per_second = state.requests_per_second,
                                   .named_age = now - state.named_at,
                                   .ended_age = {}};
        if (state.ended_at != time_point::min()) {
            report.ended_age = now - state.ended_at;
        }
        m_last_reported = next->first;
        out.push_back(report);
    }
    return out;
}

bool target_limits::merge_report(const target_limit_report& report, time_point now) {
    limit_state* state = find_or_create(report.instance);
    if (state == nullptr) {
        return false;
    }
    const std::optional<double> before = state->limit();
    const time_point named_at = now - report.named_age;
    if (state->named_at == time_point::min() || named_at - state->named_at > report_tolerance) {
        state->named_at = named_at;
        state->requests_per_second = report.requests_per_second;
    }
    if (report.ended_age) {
        state->ended_at = std::max(state->ended_at, now - *report.ended_age - report_tolerance);
    }
    const bool changed = state->limit() != before;
    state->changed_at = changed ? now : state->changed_at;
    return changed;
}

std::vector<target_instance> target_limits::merge(std::span<const target_limit_report> reports,
                                                  time_point now) {
    std::vector<target_instance> changed;
    for (const target_limit_report& report : reports) {
        if (merge_report(report, now)) {
            changed.push_back(report.instance);
        }
    }
    return changed;
}

void target_limits::record_denied(const target_instance& instance, work_kind kind,
                                  time_point until) {
    if (limit_state* state = find_or_create(instance)) {
        state->denied_until.at(static_cast<std::size_t>(kind)) = until;
    }
}

bool target_limits::is_denied(const target_instance& instance, work_kind kind,
                              time_point now) const {
    const limit_state* state = find(instance);
    return state != nullptr && state->limit() &&
           now < state->denied_until.at(static_cast<std::size_t>(kind));
}

} // namespace eelgrassdoor::routing
