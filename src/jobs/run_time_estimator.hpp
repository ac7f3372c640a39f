/// \file
/// Defines the estimator for run times of batch items. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace eelgrassdoor::jobs {

/// Estimates the run time of an item from exponential moving averages over completed items. Under
/// overload, earliest-due-first makes every item late in turn; the estimate lets the dispatcher
/// defer items that can no longer meet their due time behind those that still can.
class run_time_estimator {
public:
    /// Adds a sample: an item that completed in a single run of \p run_time, with the number of
    /// \p events that it produced.
    void record_completion(duration run_time, std::size_t events) {
        const double weight = m_has_samples ? smoothing_factor : 1;
        m_mean_run_s += weight * (to_seconds(run_time) - m_mean_run_s);
        m_mean_events += weight * (static_cast<double>(events) - m_mean_events);
        m_has_samples = true;
    }

    /// Whether an item that has produced \p events so far is expected to finish by \p due when it
    /// starts at \p now. Without a sample the run time is taken as zero.
    [[nodiscard]] bool meets_deadline(std::size_t events, time_point now, time_point due) const {
        if (!m_has_samples) {
            return now <= due;
        }
        const double completed_share = static_cast<double>(events) / std::max(m_mean_events, 1.0);
        return now + from_seconds(m_mean_run_s * std::max(0.0, 1 - completed_share)) <= due;
    }

private:
    /// Weight of the latest sample; the averages cover about the last 20 items.
    static constexpr double smoothing_factor = 0.05;

    bool m_has_samples = false;
    double m_mean_run_s = 0;
    double m_mean_events = 0;
};

} // namespace eelgrassdoor::jobs
