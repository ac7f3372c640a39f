/// \file
/// Defines tracking of the fleet's connection to the key-value service. Does no I/O.
#pragma once

#include "fleet/target_retention.hpp"

namespace eelgrassdoor::fleet {

/// Tracks whether any daemon that is heard reaches the key-value service. A daemon that does not
/// reach it itself must still accept from the others that an entry was deleted. Not thread-safe.
class store_connectivity_tracker {
public:
    /// Records whether any daemon reaches the service at \p now. Call it a few times a second,
    /// since outages are measured from one call to another.
    void update(bool reached_by_any_daemon, time_point now) {
        const bool was_reachable = m_connectivity.connected_since != time_point::max();
        if (reached_by_any_daemon && !was_reachable) {
            m_connectivity = {now, now - m_lost_at};
        } else if (!reached_by_any_daemon && was_reachable) {
            m_lost_at = now;
            m_connectivity.connected_since = time_point::max();
        }
    }
    /// The state at the last update(); not connected before the first.
    [[nodiscard]] const store_connectivity& connectivity() const { return m_connectivity; }

private:
    store_connectivity m_connectivity{time_point::max(), {}};
    time_point m_lost_at{};
};

} // namespace eelgrassdoor::fleet
