#include "routing/leaving_targets.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

bool leaving_targets::add(const leaving_instance& start) {
    const auto found = m_started_at.find(start.target);
    if (found != m_started_at.end()) {
        const bool is_new = start.started_at > found->second;
        found->second = std::max(found->second, start.started_at);
        return is_new;
    }
    if (m_started_at.size() >= max_remembered) {
        // The instance that started earliest is the most likely to have stopped for good.
        m_started_at.erase(
            std::min_element(m_started_at.begin(), m_started_at.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    m_started_at.emplace(start.target, start.started_at);
    return true;
}

bool leaving_targets::contains(const leaving_instance& start) const {
    const auto found = m_started_at.find(start.target);
    return found != m_started_at.end() && start.started_at <= found->second;
}

} // namespace eelgrassdoor::routing
