/// \file
/// Defines the choice of the job whose item is sent next. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

/// A job with an item ready to send.
struct ready_job {
    std::string job;
    std::string customer;
    /// The customer's weight; must be positive.
    double weight = 1;
    /// Deadline; time_point::max() when the job has none.
    time_point due;
};

/// Deficit round robin between customers by weight, and earliest deadline first between the jobs of
/// one customer. Every item has the same cost. Not thread-safe.
class scheduler {
public:
    /// Returns the index in \p ready of the job to serve, or none when it is empty, and charges the
    /// job's customer for one item.
    std::optional<std::size_t> pick(const std::vector<ready_job>& ready);
    /// Returns the charge of the latest pick to the customer whose job was picked, because its item
    /// was not sent.
    void refund(std::string_view customer);

private:
    /// Credit in items, by customer.
    std::map<std::string, double, std::less<>> m_deficits;
};

} // namespace eelgrassdoor::batch
