/// \file
/// Builds the input for the decision whether a caller's request may wait.
#pragma once

#include "routing/wait_rules.hpp"
#include "serving/service_context.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

/// Describes a request of \p route for routing::decide_wait(). Must be called when the request has
/// just been read: its time left is the shorter of the route's timeout and the time that the
/// caller stated in the request.
inline routing::waiting_request make_waiting_request(const serving::service_context& context,
                                                     const serving::caller_request& request,
                                                     const config::serving_route& route) {
    const duration time_left = std::min(route.timeout, request.time_left.value_or(route.timeout));
    return {.time_left = time_left,
            .elapsed = route.timeout - time_left,
            .objective = route.latency_objective,
            .service_time = context.service_times.mean(route.name)};
}

} // namespace eelgrassdoor::entry
