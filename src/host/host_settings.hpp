/// \file
/// Defines the settings of a daemon, independent of the file format they are read from.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::host {

/// Endpoints have the form `IP:PORT`; an empty one is not opened.
struct host_settings {
    /// Name of the host, unique in the fleet.
    std::string host;
    std::string availability_zone;
    /// For requests of callers, if this daemon serves them.
    std::string caller_endpoint;
    /// For the load balancer's readiness check.
    std::string readiness_endpoint;
    /// For datagrams and calls between daemons.
    std::string peer_endpoint;
    /// For the metrics in the Prometheus text format.
    std::string metrics_endpoint;
    /// Peer endpoints of the daemons to contact before any other is known.
    std::vector<std::string> seeds;
    bool serves_callers = false;
    bool runs_jobs = false;
    /// Whether the whole fleet is being started for the first time, so that no rate-limit tokens
    /// have been used yet.
    bool first_start = false;
    /// Whether requests that find all targets full wait for a place, because callers compete for
    /// too little room; otherwise they are refused at once.
    bool queues_requests = false;
    /// Time after the acknowledged cancellation of a job within which its items may still be sent
    /// to targets.
    duration max_cancellation_delay = seconds(3);
    /// Maximum duration of a graceful shutdown.
    duration shutdown_grace = seconds(8);
    /// Called when a graceful shutdown is complete; if empty, the event loop is stopped.
    std::function<void()> on_stopped;
    /// Time after the start in which the daemon does not watch the key-value service for its zone.
    /// It cannot know earlier which daemons watch it, because digests are sent every half second
    /// and registrations are fetched in windows of the same length.
    duration watch_grace = milliseconds(1600);
    /// Limit of the process's memory in bytes; it bounds what responses of targets may take.
    std::size_t max_memory_bytes = 256UL * 1024 * 1024;
    /// Longest value that the key-value service takes, in bytes.
    std::size_t max_value_bytes = 1024UL * 1024;
    /// Limit of open file descriptors; it bounds the number of callers' connections.
    std::size_t max_descriptors = 4096;
    /// Returns the time of the host's clock in Unix milliseconds.
    std::function<std::int64_t()> wall_clock = wall_clock_ms;
    /// Whether calls to and datagrams from a peer endpoint are dropped; simulates network
    /// partitions in tests. May be empty.
    std::function<bool(std::string_view)> is_partitioned;
    /// The same for connections to a target's endpoint.
    std::function<bool(std::string_view)> is_partitioned_from_target;
};

} // namespace eelgrassdoor::host
