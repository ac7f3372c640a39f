#include "fleet/snapshot_sources.hpp"

#include <algorithm>
#include <vector>

namespace eelgrassdoor::fleet {

void snapshot_sources::offer(const newer_revision& newer, time_point not_before) {
    const auto [found, added] = m_sources.try_emplace(newer.endpoint, source{newer, not_before});
    if (!added && newer.revision > found->second.newer.revision) {
        found->second.newer = newer;
    }
}

bool snapshot_sources::has_same_zone() const {
    return std::any_of(m_sources.begin(), m_sources.end(),
                       [](const auto& entry) { return entry.second.newer.same_zone; });
}

std::optional<time_point> snapshot_sources::next_attempt(std::uint64_t known) {
    std::erase_if(m_sources,
                  [&](const auto& entry) { return entry.second.newer.revision <= known; });
    std::optional<time_point> next;
    for (const auto& [endpoint, each] : m_sources) {
        if (is_eligible(each)) {
            next = std::min(next.value_or(each.not_before), each.not_before);
        }
    }
    return next;
}

newer_revision snapshot_sources::choose(time_point now, random_source& random) const {
    std::vector<const newer_revision*> best;
    for (const auto& [endpoint, each] : m_sources) {
        if (each.not_before > now || !is_eligible(each)) {
            continue;
        }
        if (!best.empty() && each.newer.revision > best.front()->revision) {
            best.clear();
        }
        if (best.empty() || each.newer.revision == best.front()->revision) {
            best.push_back(&each.newer);
        }
    }
    return *best[random.below(best.size())];
}

void snapshot_sources::defer(std::string_view endpoint, time_point until) {
    const auto found = m_sources.find(endpoint);
    if (found != m_sources.end()) {
        found->second.not_before = until;
    }
}

void snapshot_sources::remove(std::string_view endpoint) {
    const auto found = m_sources.find(endpoint);
    if (found != m_sources.end()) {
        m_sources.erase(found);
    }
}

} // namespace eelgrassdoor::fleet
