#include "routing/leaving_targets.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

bool leaving_targets::add(const target_instance& instance) {
    const auto found = m_started_at.find(instance.target);
    if (found != m_started_at.end()) {
        const bool is_new = instance.started_at > found->second;
        found->second = std::max(found->second, instance.started_at);
        return is_new;
    }
    if (m_started_at.size() >= max_targets) {
        // The instance that started earliest is the most likely to have stopped for good.
        m_started_at.erase(
            std::min_element(m_started_at.begin(), m_started_at.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    m_started_at.emplace(instance.target, instance.started_at);
    return true;
}

bool leaving_targets::contains(const target_instance& instance) const {
    const auto found = m_started_at.find(instance.target);
    return found != m_started_at.end() && instance.started_at <= found->second;
}

} // namespace eelgrassdoor::routing
