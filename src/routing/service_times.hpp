/// \file
/// Defines the moving average of request service times by route. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

/// Exponential moving averages over requests with a complete response. They are kept by route,
/// since one service may handle both long streams and short calls. Not thread-safe.
class service_times {
public:
    /// Records the time from sending a request to the end of its response.
    void record(std::string_view route, duration time) {
        const auto [average, first] = m_seconds.try_emplace(std::string(route), to_seconds(time));
        if (!first) {
            average->second += smoothing_factor * (to_seconds(time) - average->second);
        }
    }

    /// The average service time of \p route, or zero before the first sample.
    [[nodiscard]] duration mean(std::string_view route) const {
        const auto average = m_seconds.find(route);
        return average == m_seconds.end() ? duration::zero() : from_seconds(average->second);
    }

private:
    /// Weight of the latest sample; the average covers about the last 20.
    static constexpr double smoothing_factor = 0.05;

    std::map<std::string, double, std::less<>> m_seconds;
};

} // namespace eelgrassdoor::routing
