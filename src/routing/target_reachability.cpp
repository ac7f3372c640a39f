#include "routing/target_reachability.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::routing {

bool target_reachability::record_response(time_point now) {
    m_silent.clear();
    m_responded_at = now;
    m_probed_at.reset();
    m_is_probing = false;
    return std::exchange(m_is_partitioned, false);
}

bool target_reachability::record_no_response(std::string_view target, time_point now) {
    if (m_is_partitioned) {
        return false;
    }
    m_silent.emplace(target);
    const std::size_t needed = std::min(min_unreachable, m_target_count);
    const bool is_long = !m_responded_at || now - *m_responded_at >= min_silence;
    m_is_partitioned = needed > 0 && m_silent.size() >= needed && is_long;
    return m_is_partitioned;
}

bool target_reachability::try_begin_direct_attempt(bool is_repeatable, time_point now) {
    if (!is_partitioned()) {
        return true;
    }
    // The request that found the partition was sent directly.
    m_probed_at = m_probed_at.value_or(now);
    const duration interval = is_repeatable ? probe_interval : unrepeatable_probe_interval;
    const duration since = now - *m_probed_at;
    if (since < interval || (m_is_probing && since < max_probe_time)) {
        return false;
    }
    m_probed_at = now;
    m_is_probing = true;
    return true;
}

} // namespace eelgrassdoor::routing
