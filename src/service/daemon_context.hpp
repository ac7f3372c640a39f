/// \file
/// Defines what every service of a daemon is given.
#pragma once

#include "base/clock.hpp"
#include "base/worker_pool.hpp"
#include "config/current_configuration.hpp"
#include "observe/metrics.hpp"
#include "observe/observer.hpp"
#include "peer/drop_list.hpp"
#include "peer/node.hpp"
#include "platform/kv_client.hpp"
#include "settings/daemon_settings.hpp"

#include <cstdint>

namespace eelgrassdoor::service {

/// The parts that the services share. It outlives all of them.
///
/// Lock order: a service holds its own mutex only around its decision module, and calls no other
/// service and no I/O under it. The mutexes of runtime's members are leaves.
struct daemon_context {
    const settings::daemon_settings& settings;
    std::uint64_t incarnation;
    clock_fn clock;
    observe::observer& events;
    observe::metrics& metrics;
    peer::drop_list& drops;
    peer::node& node;
    platform::kv_client& kv;
    config::current_configuration& configuration;
    worker_pool& workers;
};

} // namespace eelgrassdoor::service
