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
class item_forecast {
public:
    /// Takes in an item that was run without a break, with the events that it made.
    void note_complete(duration run_time, std::size_t events) {
        const double weight = m_known ? learning_rate : 1;
        m_run_s += weight * (to_seconds(run_time) - m_run_s);
        m_events += weight * (static_cast<double>(events) - m_events);
        m_known = true;
    }

    /// Whether an item with \p events made so far is likely to be done by \p due when it starts
    /// now.
    [[nodiscard]] bool in_time(std::size_t events, time_point now, time_point due) const {
        if (!m_known) {
            return now <= due;
        }
        const double made = static_cast<double>(events) / std::max(m_events, 1.0);
        return now + from_seconds(m_run_s * std::max(0.0, 1 - made)) <= due;
    }

private:
    /// Weight of the latest item: about the last twenty count.
    static constexpr double learning_rate = 0.05;

    bool m_known = false;
    double m_run_s = 0;
    double m_events = 0;
};

} // namespace eelgrassdoor::jobs
