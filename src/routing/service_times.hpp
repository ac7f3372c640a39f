/// \file
/// Defines how long requests run at targets. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

/// Learns from requests that were answered in full, route by route: one service may run long
/// streams and short calls.
class service_times {
public:
    /// Takes in the time from the sending of a request to the end of its answer.
    void record(std::string_view route, duration time) {
        const auto [known, first] = m_seconds.try_emplace(std::string(route), to_seconds(time));
        if (!first) {
            known->second += smoothing_factor * (to_seconds(time) - known->second);
        }
    }

    /// The mean of a route; zero while none is known.
    [[nodiscard]] duration mean(std::string_view route) const {
        const auto known = m_seconds.find(route);
        return known == m_seconds.end() ? duration::zero() : from_seconds(known->second);
    }

private:
    /// Weight of the latest request: about the last twenty count.
    static constexpr double smoothing_factor = 0.05;

    std::map<std::string, double, std::less<>> m_seconds;
};

} // namespace eelgrassdoor::routing
