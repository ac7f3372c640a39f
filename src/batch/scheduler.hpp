/// \file
/// Defines which job's item is sent next. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

/// A job that has an item to send.
struct ready_job {
    std::string job;
    std::string customer;
    double weight = 1;
    /// The far future where the job has no deadline.
    time_point due;
};

/// Deficit round robin between customers by weight; earliest deadline between the jobs of one.
/// Every item costs the same.
class scheduler {
public:
    /// Returns the index of the job to serve, or none when \p ready is empty.
    std::optional<std::size_t> pick(const std::vector<ready_job>& ready);

private:
    std::map<std::string, double, std::less<>> m_deficits;
};

} // namespace eelgrassdoor::batch
