#include "serving/connection_ends.hpp"

#include <cstddef>
#include <set>

namespace eelgrassdoor::serving {

namespace {

/// Connections that end in the middle of responses at one moment are fewer than a daemon has.
constexpr std::size_t max_entries = 256;
/// A target that crashes ends its own connections only; the same of two is no coincidence.
constexpr std::size_t min_other_targets = 2;

} // namespace

void connection_ends::record(std::string_view target, time_point now) {
    if (m_entries.size() == max_entries) {
        m_entries.pop_front();
    }
    m_entries.push_back({std::string(target), now});
}

bool connection_ends::explain_end(std::string_view target, time_point since) const {
    std::set<std::string_view> others;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && it->ended_at >= since; ++it) {
        if (it->target == target) {
            return true;
        }
        others.insert(it->target);
    }
    return others.size() >= min_other_targets;
}

} // namespace eelgrassdoor::serving
