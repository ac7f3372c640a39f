/// \file
/// Defines what every service of a daemon is given.
#pragma once

#include "base/clock.hpp"
#include "base/worker_pool.hpp"
#include "config/current_configuration.hpp"
#include "observe/event_recorder.hpp"
#include "observe/metrics.hpp"
#include "peer/drop_list.hpp"
#include "peer/transport.hpp"
#include "platform/kv_client.hpp"
#include "settings/daemon_settings.hpp"

#include <cstdint>

namespace eelgrassdoor::service {

/// The parts that the services share. It outlives all of them.
///
/// Lock order: a service holds its own mutex only around its decision module, and calls no other
/// service and no I/O under it. The mutexes of runtime's members are leaves.
struct runtime {
    const settings::daemon_settings& settings;
    std::uint64_t incarnation;
    clock_fn clock;
    observe::observer& events;
    observe::metrics& numbers;
    peer::drop_list& drops;
    peer::node& node;
    platform::kv_client& kv;
    config::current_configuration& configuration;
    worker_pool& workers;
};

} // namespace eelgrassdoor::service
