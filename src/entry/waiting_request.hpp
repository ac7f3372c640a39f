/// \file
/// Defines what decides whether a caller's request may wait.
#pragma once

#include "routing/wait_rules.hpp"
#include "serving/service_context.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

/// The terms of a request of \p route that has just been read.
inline routing::waiting_request waiting_terms(const serving::host_context& context,
                                              const serving::caller_request& request,
                                              const config::serving_route& route) {
    const duration time_left = std::min(route.timeout, request.time_left.value_or(route.timeout));
    return {.time_left = time_left,
            .passed = route.timeout - time_left,
            .objective = route.latency_objective,
            .service_time = context.times.mean(route.name)};
}

} // namespace eelgrassdoor::entry
