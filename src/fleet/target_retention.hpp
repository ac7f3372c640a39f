/// \file
/// Defines which listed targets may be used. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/fleet_load.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

/// What is known of the connection to the key-value service.
struct store_contact {
    /// Since when it answers; time_point::max() while it does not.
    time_point connected_since{};
    /// How long it did not answer before.
    duration outage{};
};

/// Keeps targets whose entries vanished because the key-value service was away: they are back soon
/// after its return, and until then their answers show whether they live. Otherwise an entry that
/// vanishes means that the target is gone.
class target_roster {
public:
    /// Entries that lapsed during an outage are back within two seconds of its end.
    static constexpr duration return_time = milliseconds(2400);
    /// Entries live for three heartbeats; a shorter outage cannot have ended them.
    static constexpr duration harmless_outage = milliseconds(1500);

    /// Returns the targets to use now.
    std::vector<routing::fleet_target> update(const std::vector<routing::fleet_target>& listed,
                                              const store_contact& contact, time_point now);

private:
    std::map<std::string, routing::fleet_target, std::less<>> m_used;
};

} // namespace eelgrassdoor::fleet
