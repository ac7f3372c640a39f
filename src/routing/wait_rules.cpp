#include "routing/wait_rules.hpp"

#include <algorithm>

namespace eelgrassdoor::routing {

namespace {

/// The part of the latency objective that a request may spend waiting. The rest is for its way to
/// the target and the reading of its prompt.
constexpr double part_for_waiting = 0.5;

} // namespace

duration longest_wait_in_time(duration objective) {
    return from_seconds(part_for_waiting * to_seconds(objective));
}

wait_decision decide_wait(const waiting_request& request, duration predicted) {
    wait_decision decision;
    decision.at_most = std::max(duration::zero(), request.time_left - request.service_time);
    decision.predicted = predicted;
    const bool in_time = predicted <= longest_wait_in_time(request.objective);
    // No caller is sent away for less than this.
    const bool has_come_back = request.passed >= longest_wait_in_time(request.objective);
    decision.waits = predicted <= decision.at_most && (in_time || has_come_back);
    return decision;
}

} // namespace eelgrassdoor::routing
