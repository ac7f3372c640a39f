/// \file
/// Defines which targets remain usable during outages of the key-value service. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/fleet_load.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

/// State of the fleet's connection to the key-value service.
struct store_connectivity {
    /// Since when the service responds to any daemon; time_point::max() while it does not.
    time_point connected_since{};
    /// Length of the outage before connected_since.
    duration last_outage{};
};

/// Retains targets whose entries expired because the key-value service was unavailable. They
/// register again soon after the outage, and until then their responses show whether they are
/// alive. At any other time, a missing entry means that the target is gone. Not thread-safe.
class target_retention {
public:
    /// How long targets are retained after an outage. Targets whose entries expired in it register
    /// again within two seconds of its end.
    static constexpr duration reregistration_time = milliseconds(2400);
    /// Longest outage in which no entry can expire: entries live for three heartbeats.
    static constexpr duration max_outage_without_expiry = milliseconds(1500);

    /// Returns the targets to use: the \p listed ones and those retained from the previous call.
    std::vector<routing::fleet_target> update(const std::vector<routing::fleet_target>& listed,
                                              const store_connectivity& connectivity,
                                              time_point now);

private:
    std::map<std::string, routing::fleet_target, std::less<>> m_used;
};

} // namespace eelgrassdoor::fleet
