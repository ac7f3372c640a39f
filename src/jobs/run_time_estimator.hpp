/// \file
/// Defines how long items are expected to run. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace eelgrassdoor::jobs {

/// Learns from finished items. Under overload, running the earliest due items first makes all of
/// them late, one after the other; items that cannot be done in time any more have to wait until
/// those that can are served.
class run_time_estimator {
public:
    /// Takes in an item that was run without a break, with the events that it made.
    void record_completion(duration run_time, std::size_t events) {
        const double weight = m_has_samples ? smoothing_factor : 1;
        m_mean_run_s += weight * (to_seconds(run_time) - m_mean_run_s);
        m_mean_events += weight * (static_cast<double>(events) - m_mean_events);
        m_has_samples = true;
    }

    /// Whether an item with \p events made so far is likely to be done by \p due when it starts
    /// now.
    [[nodiscard]] bool meets_deadline(std::size_t events, time_point now, time_point due) const {
        if (!m_has_samples) {
            return now <= due;
        }
        const double completed_share = static_cast<double>(events) / std::max(m_mean_events, 1.0);
        return now + from_seconds(m_mean_run_s * std::max(0.0, 1 - completed_share)) <= due;
    }

private:
    /// Weight of the latest item: about the last twenty count.
    static constexpr double smoothing_factor = 0.05;

    bool m_has_samples = false;
    double m_mean_run_s = 0;
    double m_mean_events = 0;
};

} // namespace eelgrassdoor::jobs
