/// \file
/// Defines the state that the services of one daemon share.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "config/serving_plan.hpp"
#include "fleet/peer_messenger.hpp"
#include "fleet/service_versions.hpp"
#include "net/asio.hpp"
#include "net/memory_budget.hpp"
#include "observe/decision_log.hpp"
#include "observe/metrics.hpp"
#include "routing/fleet_load.hpp"
#include "routing/prompt_quarantine.hpp"
#include "routing/service_times.hpp"
#include "routing/target_reachability.hpp"
#include "serving/connection_ends.hpp"
#include "serving/protocol_codec.hpp"
#include "serving/relay_hosts.hpp"

#include <functional>
#include <string_view>

namespace eelgrassdoor::serving {

/// The daemon's shared objects, which the context refers to and which must outlive it. Used only on
/// the event loop's thread; must outlive the services.
struct service_context {
    net::asio::any_io_executor executor;
    clock_fn clock;
    random_source& random;
    observe::decision_log& log;
    observe::metrics& metrics;
    routing::fleet_load& loads;
    /// Prompt segments that crash targets.
    routing::prompt_quarantine& quarantine;
    /// Whole requests that crash targets.
    routing::prompt_quarantine& request_quarantine;
    /// Exchanges load, members and rate-limit tokens with the other daemons.
    fleet::peer_messenger& messenger;
    /// Which software versions may have begun a stream.
    fleet::service_versions& versions;
    const protocol_codec& codec;
    /// Memory for targets' responses.
    net::memory_budget& response_memory;
    /// The current configuration; null before the first one has been applied.
    config::serving_plan_ptr plan;
    /// Mean service times of online requests, by route.
    routing::service_times service_times;
    /// Whether this host reaches targets.
    routing::target_reachability reachability;
    /// The daemons that relay requests while it does not.
    relay_hosts relays;
    /// Connections to targets that have ended in the middle of responses.
    connection_ends ended_connections;
    /// Whether connections to a target's endpoint (`IP:PORT`) fail at once; simulates network
    /// partitions in tests. May be empty.
    std::function<bool(std::string_view)> is_partitioned_from_target;
    /// Whether a request that finds all targets full waits in the order of
    /// routing::placement_queue; otherwise only a begun stream waits.
    bool queues_requests = false;
};

} // namespace eelgrassdoor::serving
