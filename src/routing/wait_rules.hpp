/// \file
/// Defines whether a request that cannot be served now waits or is rejected. Performs no I/O.
#pragma once

#include "base/clock.hpp"

namespace eelgrassdoor::routing {

/// A request that found no rate-limit token for its customer, or no target with spare capacity.
struct waiting_request {
    /// Time until the caller's deadline or the route's timeout, whichever is earlier.
    duration time_left{};
    /// The part of the route's timeout that has been used up. It is positive when a rejected caller
    /// retries, since that caller has less time left than the route allows.
    duration elapsed{};
    /// Latency objective: the target time to the start of the response.
    duration objective{};
    /// Expected time from the start at a target to the end of the response.
    duration service_time{};
};

/// The outcome of decide_wait().
struct wait_decision {
    /// Whether the request is queued; otherwise it is rejected.
    bool should_wait = false;
    /// Longest wait after which the request can still complete before its deadline.
    duration max_wait{};
    /// The predicted wait on which the decision is based.
    duration predicted{};
};

/// The longest wait with which a response still starts within \p objective.
duration max_wait_within_objective(duration objective);

/// Decides from the predicted wait whether a request is queued or rejected. The rule is meant for
/// bursts that exceed capacity for a few seconds and are followed by free capacity: requests that
/// can still start within the objective wait, others are rejected at once with a retry delay, and a
/// retried request waits, since it may have no further attempt. A request that cannot complete
/// before its deadline never waits. Thread-safe.
wait_decision decide_wait(const waiting_request& request, duration predicted);

} // namespace eelgrassdoor::routing
