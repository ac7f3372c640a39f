#include "host/shutdown_schedule.hpp"

#include <algorithm>

namespace eelgrassdoor::host {

namespace {

/// Requests that callers send up to 3 s after SIGTERM may be cut at the end of the grace period,
/// later ones may not. The difference covers the delay until this process handles the signal.
constexpr duration max_admission_time = milliseconds(2800);
/// Time after SIGTERM in which callers still arrive: the load balancer removes a host after two
/// failed health checks, a second apart.
constexpr duration max_listening_time = milliseconds(3500);
/// Time reserved for final responses to be written and handlers to return.
constexpr duration max_ending_time = milliseconds(200);
/// Time reserved for the final steps.
constexpr duration max_final_time = milliseconds(700);

// Shares of a grace period that is too short for the times above. The last two leave 27/32 of it
// for running requests, more than the five sixths that they are promised.
constexpr double admission_share = 3.0 / 8;
constexpr double listening_share = 7.0 / 16;
constexpr double ending_share = 1.0 / 32;
constexpr double final_share = 1.0 / 8;

duration share_of(duration grace, double share, duration limit) {
    return std::min(limit, from_seconds(to_seconds(grace) * share));
}

} // namespace

shutdown_schedule::shutdown_schedule(duration grace)
    : m_refusing_from(share_of(grace, admission_share, max_admission_time)),
      m_closed_from(share_of(grace, listening_share, max_listening_time)),
      m_final_from(grace - share_of(grace, final_share, max_final_time)) {
    m_ending_from = m_final_from - share_of(grace, ending_share, max_ending_time);
}

shutdown_phase shutdown_schedule::phase_at(duration elapsed) const {
    if (elapsed >= m_final_from) {
        return shutdown_phase::final_steps;
    }
    if (elapsed >= m_ending_from) {
        return shutdown_phase::ending_requests;
    }
    if (elapsed >= m_closed_from) {
        return shutdown_phase::closed;
    }
    return elapsed >= m_refusing_from ? shutdown_phase::refusing : shutdown_phase::admitting;
}

duration shutdown_schedule::time_for_requests(duration elapsed) const {
    return std::max(duration::zero(), m_ending_from - elapsed);
}

duration shutdown_schedule::until_next_phase(duration elapsed) const {
    for (const duration start : {m_refusing_from, m_closed_from, m_ending_from, m_final_from}) {
        if (elapsed < start) {
            return start - elapsed;
        }
    }
    return duration::zero();
}

} // namespace eelgrassdoor::host
