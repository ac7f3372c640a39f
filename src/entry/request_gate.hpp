/// \file
/// Defines how a frontend learns of a shutdown, and the errors of requests that one turns away.
#pragma once

#include "base/error.hpp"

#include <functional>

namespace eelgrassdoor::entry {

/// Tells whether requests can still be served before the daemon stops.
struct request_gate {
    /// Whether a request that has just been read may be served.
    std::function<bool()> accepts_requests = [] { return true; };
    /// Time until requests that still run are ended; duration::max() while no shutdown has begun.
    std::function<duration()> time_left = [] { return duration::max(); };
};

/// For a request that was not run. Other hosts can take it at once.
inline error refused_by_shutdown() {
    return {error_code::unavailable, "the host is shutting down", run_state::not_run,
            milliseconds(50)};
}

/// For a request that was not run because requests hold all memory that is left to them. Those that
/// hold it end within seconds.
inline error refused_for_memory() {
    return {error_code::unavailable, "the host has no memory left for this request",
            run_state::not_run, seconds(1)};
}

/// For a request that a target or a job runner may have begun to run.
inline error ended_by_shutdown() {
    return {error_code::target_failed, "the host shut down before the request ended",
            run_state::unknown};
}

} // namespace eelgrassdoor::entry
