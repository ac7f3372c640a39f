#include "routing/target_limits.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

const target_limits::limit_state* target_limits::find(const target_instance& instance) const {
    const auto found = m_states.find(instance.target);
    return found == m_states.end() || found->second.started_at != instance.started_at
               ? nullptr
               : &found->second;
}

target_limits::limit_state* target_limits::find_or_create(const target_instance& instance) {
    if (m_states.size() >= max_targets && !m_states.contains(instance.target)) {
        std::erase_if(m_states, [](const auto& entry) { return !entry.second.limit(); });
    }
    limit_state& state = m_states[instance.target];
    if (state.started_at < instance.started_at) {
        state = {.started_at = instance.started_at};
    }
    return state.started_at == instance.started_at ? &state : nullptr;
}

bool target_limits::record_response(const target_instance& instance, std::optional<double> limit,
                                    time_point sent_at, time_point now) {
    const std::optional<double> before = limit_of(instance);
    if (!limit && !before) {
        return false;
    }
    limit_state* state = find_or_create(instance);
    if (state == nullptr) {
        return false;
    }
    if (limit) {
        state->requests_per_second = *limit;
        state->named_at = now;
    } else {
        state->ended_at = std::max(state->ended_at, sent_at);
    }
    return state->limit() != before;
}

std::optional<double> target_limits::limit_of(const target_instance& instance) const {
    const limit_state* state = find(instance);
    return state == nullptr ? std::nullopt : state->limit();
}

} // namespace eelgrassdoor::routing
