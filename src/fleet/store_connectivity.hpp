/// \file
/// Defines tracking of the fleet's connection to the key-value service. Does no I/O.
#pragma once

#include "fleet/target_retention.hpp"

namespace eelgrassdoor::fleet {

/// Tracks whether any daemon that is heard reaches the store. A daemon that does not reach it
/// itself must still accept from the others that an entry was deleted. Not thread-safe.
class store_reachability {
public:
    /// Records whether some daemon reaches the store at \p now. To be called a few times a second.
    void update(bool reached_by_someone, time_point now) {
        const bool was_reachable = m_contact.connected_since != time_point::max();
        if (reached_by_someone && !was_reachable) {
            m_contact = {now, now - m_lost_at};
        } else if (!reached_by_someone && was_reachable) {
            m_lost_at = now;
            m_contact.connected_since = time_point::max();
        }
    }
    [[nodiscard]] const store_contact& contact() const { return m_contact; }

private:
    store_contact m_contact{time_point::max(), {}};
    time_point m_lost_at{};
};

} // namespace eelgrassdoor::fleet
