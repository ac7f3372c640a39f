/// \file
/// Defines whether a request that cannot be served now waits or is sent away. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

namespace eelgrassdoor::routing {

/// A request that finds no token of its customer's rate, or no target with room.
struct waiting_request {
    /// Until the caller gives up or the time-out of the route, whichever is first.
    duration time_left{};
    /// How much of the route's time-out has passed already. A caller that was sent away and has
    /// come back has less time left than the route allows.
    duration elapsed{};
    /// Answers that begin later are late.
    duration objective{};
    /// From the start at a target to the end of the answer.
    duration service_time{};
};

/// What becomes of such a request.
struct wait_decision {
    bool should_wait = false;
    /// How long it may wait at most. Behind that it cannot be served in full any more.
    duration max_wait{};
    /// The wait by which it was decided.
    duration predicted{};
};

/// How long a request may wait and still begin in time.
duration max_wait_within_objective(duration objective);

/// Decides by the time that the request is predicted to wait. Answers a pulse that is above what
/// can be served for some seconds, with free capacity behind it: requests that still begin in time
/// wait, others are told at once when to come back, and one that has come back waits, as it may
/// have no other attempt. What cannot be served before its deadline never waits.
wait_decision decide_wait(const waiting_request& request, duration predicted);

} // namespace eelgrassdoor::routing
