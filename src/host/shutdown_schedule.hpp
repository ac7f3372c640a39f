/// \file
/// Defines the phases of a graceful shutdown and which requests a daemon still admits in them.
/// Performs no I/O.
#pragma once

#include "base/clock.hpp"

namespace eelgrassdoor::host {

/// What a daemon does at one time of its shutdown, in this order.
enum class shutdown_phase {
    /// New requests are admitted, as far as they can be expected to end in time.
    admitting,
    /// Every new request is refused; running ones go on.
    refusing,
    /// In addition, no connection is accepted any more.
    closed,
    /// Requests that still run are ended with a final response.
    ending_requests,
    /// Connections are closed, and the daemon ends its registration and stops.
    final_steps,
};

/// The schedule of a shutdown that may last for a grace period. All times are counted from its
/// start.
class shutdown_schedule {
public:
    /// \p grace must be positive.
    explicit shutdown_schedule(duration grace);

    [[nodiscard]] shutdown_phase phase_at(duration elapsed) const;
    /// Time from \p elapsed until requests that still run are ended; zero when that has happened.
    [[nodiscard]] duration time_for_requests(duration elapsed) const;
    /// Time from \p elapsed to the next phase; zero in the last one.
    [[nodiscard]] duration until_next_phase(duration elapsed) const;

private:
    duration m_refusing_from;
    duration m_closed_from;
    duration m_ending_from;
    duration m_final_from;
};

} // namespace eelgrassdoor::host
