/// \file
/// Defines the settings of a daemon on the event loop, whatever file they come from.
#pragma once

#include "base/clock.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::host {

/// Addresses are `IP:PORT`; an empty one is not listened on.
struct host_settings {
    std::string host;
    std::string availability_zone;
    /// For callers, if this daemon serves them.
    std::string caller_endpoint;
    /// For the balancer's question whether the daemon is ready.
    std::string readiness_endpoint;
    /// For datagrams and calls between daemons.
    std::string peer_endpoint;
    std::string metrics_endpoint;
    /// Peer endpoints of daemons to turn to before any other is known.
    std::vector<std::string> seeds;
    bool serves_callers = false;
    bool runs_jobs = false;
    /// Whether the whole fleet starts for the first time.
    bool first_start = false;
    /// How long a graceful shutdown may take.
    duration shutdown_grace = seconds(8);
    /// A daemon that has just started leaves watching the key-value service to others for this
    /// long: before, it cannot have heard who watches, as digests are repeated every half second
    /// and registrations are gathered for as long.
    duration watch_grace = milliseconds(1600);
    std::size_t max_descriptors = 4096;
    /// Endpoints of daemons that this one cannot reach: cuts of the network, in tests.
    std::function<bool(std::string_view)> is_cut_off;
};

} // namespace eelgrassdoor::host
