#include "routing/leaving_targets.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

bool leaving_targets::note(const leaving_start& start) {
    const auto known = m_starts.find(start.target);
    if (known != m_starts.end()) {
        const bool news = start.started_at > known->second;
        known->second = std::max(known->second, start.started_at);
        return news;
    }
    if (m_starts.size() >= max_remembered) {
        // The earliest start is the likeliest to be gone for good.
        m_starts.erase(
            std::min_element(m_starts.begin(), m_starts.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    m_starts.emplace(start.target, start.started_at);
    return true;
}

bool leaving_targets::contains(const leaving_start& start) const {
    const auto known = m_starts.find(start.target);
    return known != m_starts.end() && start.started_at <= known->second;
}

} // namespace eelgrassdoor::routing
