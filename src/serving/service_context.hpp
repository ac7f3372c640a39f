/// \file
/// Defines what the services of one daemon share.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "config/serving_plan.hpp"
#include "fleet/peer_messenger.hpp"
#include "net/asio.hpp"
#include "observe/decision_log.hpp"
#include "observe/metrics.hpp"
#include "routing/fleet_load.hpp"
#include "routing/service_times.hpp"
#include "serving/protocol_codec.hpp"

namespace eelgrassdoor::serving {

/// Belongs to the event loop's thread; outlives the services.
struct host_context {
    net::asio::any_io_executor executor;
    clock_fn clock;
    random_source& random;
    observe::decision_log& log;
    observe::metrics& numbers;
    routing::fleet_load& loads;
    fleet::link& link;
    const caller_wire& wire;
    /// The configuration in force; null before the first one.
    config::serving_plan_ptr plan;
    /// How long online requests run, by route.
    routing::service_times times;
};

} // namespace eelgrassdoor::serving
