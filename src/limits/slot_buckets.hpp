/// \file
/// Defines what a limit holder keeps: its parts of all customers' rates. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace eelgrassdoor::limits {

/// The rate and burst of one customer over the whole fleet.
struct customer_limit {
    double rate_per_second = 0;
    double burst = 0;
};

using customer_limits = std::map<std::string, customer_limit, std::less<>>;

/// A holder's answer to an ask.
struct grant {
    std::uint64_t id = 0;
    double amount = 0;
    double balance = 0;
    double next_token_s = 0;
};

/// The parts that one slot gives: one for each customer.
class part_table {
public:
    /// For how long a lent token may come back.
    static constexpr duration loan_time = milliseconds(250);

    /// \p begins_full: whether the slot's tokens were never used before.
    /// \p known_at_claim: the customers that existed when the slot was claimed. A later customer
    /// begins full, since no earlier holder of the slot can have used its tokens.
    part_table(bool begins_full, std::set<std::string, std::less<>> known_at_claim);

    /// Takes in the limits of a configuration. \p part_count is the number of parts in the fleet.
    void configure(const customer_limits& limits, std::size_t part_count, time_point now);

    /// Grants tokens. With \p fraction_helps less than \p want may be granted, as a loan.
    grant ask(std::string_view customer, double want, bool fraction_helps, time_point now);
    /// Takes back what was lent under \p grant_id.
    void give_back(std::uint64_t grant_id, double amount, time_point now);
    double balance(std::string_view customer, time_point now);

private:
    const bool m_begins_full;
    const std::set<std::string, std::less<>> m_known_at_claim;
    std::map<std::string, token_part, std::less<>> m_parts;
    std::map<std::uint64_t, std::pair<std::string, time_point>> m_loans;
    std::uint64_t m_next_grant = 1;
};

} // namespace eelgrassdoor::limits
