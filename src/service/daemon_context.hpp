/// \file
/// Defines the objects that all services of a daemon share.
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

/// The objects that the services share. It outlives all of them.
///
/// Lock order: a service holds its own mutex only while it calls its decision module, never during
/// I/O or a call to another service. The mutexes of the members of this struct are leaves.
struct daemon_context {
    const settings::daemon_settings& settings;
    /// Distinguishes this run of the daemon from earlier ones on the same host.
    std::uint64_t incarnation;
    clock_fn clock;
    observe::event_recorder& events;
    observe::metrics& metrics;
    /// Endpoints with which communication is cut off, for tests of network partitions.
    peer::drop_list& drop_list;
    peer::transport& transport;
    platform::kv_client& kv;
    config::current_configuration& configuration;
    worker_pool& workers;
};

} // namespace eelgrassdoor::service
