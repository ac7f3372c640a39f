#include "routing/target_reachability.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

bool target_reachability::record_connected() {
    const bool was_partitioned = is_partitioned();
    m_unreachable.clear();
    m_next_probe = time_point::min();
    return was_partitioned;
}

bool target_reachability::record_unreachable(std::string_view target) {
    const bool was_partitioned = is_partitioned();
    if (!was_partitioned) {
        m_unreachable.emplace(target);
    }
    return !was_partitioned && is_partitioned();
}

bool target_reachability::is_partitioned() const {
    const std::size_t needed = std::min(min_unreachable, m_target_count);
    return needed > 0 && m_unreachable.size() >= needed;
}

bool target_reachability::should_connect_directly(time_point now) {
    if (!is_partitioned()) {
        return true;
    }
    if (now < m_next_probe) {
        return false;
    }
    m_next_probe = now + probe_interval;
    return true;
}

} // namespace eelgrassdoor::routing
