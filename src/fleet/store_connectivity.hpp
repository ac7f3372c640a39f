/// \file
/// Defines what the fleet knows of the key-value service's outages. Pure: no I/O.
#pragma once

#include "fleet/target_retention.hpp"

namespace eelgrassdoor::fleet {

/// Follows whether any daemon that is heard reaches the store: a daemon that does not reach it
/// itself must still take the others' word that an entry is gone.
class store_presence {
public:
    /// Called a few times a second.
    void update(bool reached_by_someone, time_point now) {
        const bool was_present = m_contact.connected_since != time_point::max();
        if (reached_by_someone && !was_present) {
            m_contact = {now, now - m_lost_at};
        } else if (!reached_by_someone && was_present) {
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
