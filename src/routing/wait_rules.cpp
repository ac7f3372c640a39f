#include "routing/wait_rules.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// Fraction of the latency objective that a request may spend waiting. The rest is reserved for the
/// network path to the target and for prompt processing.
constexpr double waiting_fraction = 0.5;

} // namespace

duration max_wait_within_objective(duration objective) {
    return from_seconds(waiting_fraction * to_seconds(objective));
}

wait_decision decide_wait(const waiting_request& request, duration predicted) {
    wait_decision decision;
    decision.max_wait = std::max(duration::zero(), request.time_left - request.service_time);
    decision.predicted = predicted;
    const bool within_objective = predicted <= max_wait_within_objective(request.objective);
    // Rejected callers are told to retry after at least this time, so a request that has used it up
    // counts as a retry.
    const bool is_retry = request.elapsed >= max_wait_within_objective(request.objective);
    decision.should_wait = predicted <= decision.max_wait && (within_objective || is_retry);
    return decision;
}

} // namespace eelgrassdoor::routing
