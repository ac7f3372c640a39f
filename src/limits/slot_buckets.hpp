/// \file
/// Defines the token buckets of one slot, one for each customer. Performs no I/O.
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
    /// In tokens per second; each request takes one token.
    double rate_per_second = 0;
    /// In tokens.
    double burst = 0;
};

/// Limits by customer name.
using customer_limits = std::map<std::string, customer_limit, std::less<>>;

/// The outcome of a request for tokens. All fields are 0 for an unknown customer.
struct grant {
    /// Identifies a loan in slot_buckets::return_loan().
    std::uint64_t id = 0;
    /// Granted tokens; 0 when the request was refused.
    double amount = 0;
    /// Tokens left in the bucket.
    double balance = 0;
    /// Seconds until the balance is one token; 0 when it is already.
    double next_token_s = 0;
};

/// The token buckets of one slot, one for each customer. Each has an equal fraction of the
/// customer's rate and burst. Not thread-safe.
class slot_buckets {
public:
    /// How long after acquire() a loan can be returned.
    static constexpr duration loan_return_window = milliseconds(250);

    /// \p starts_full: whether all buckets start full, which is right only when the slot was never
    /// held before. Otherwise the buckets of customers in \p known_at_claim start empty.
    /// \p known_at_claim: the customers that existed when the slot was claimed. Buckets of later
    /// customers start full, since no earlier holder of the slot can have used their tokens.
    slot_buckets(bool starts_full, std::set<std::string, std::less<>> known_at_claim);

    /// Applies the limits of a configuration. \p slot_count is the number of slots in the fleet.
    /// Buckets of customers that \p limits does not contain no longer fill.
    void configure(const customer_limits& limits, std::size_t slot_count, time_point now);

    /// Takes \p want tokens or none. With \p allow_partial takes up to \p want, as a loan that can
    /// be returned within loan_return_window. Grants nothing for an unknown customer.
    grant acquire(std::string_view customer, double want, bool allow_partial, time_point now);
    /// Settles the loan \p grant_id, of which \p amount tokens are returned and the others are
    /// spent. Does nothing when the loan is unknown, already settled or expired.
    void return_loan(std::uint64_t grant_id, double amount, time_point now);
    /// The tokens in the customer's bucket at \p now; 0 for an unknown customer.
    double balance(std::string_view customer, time_point now);

private:
    const bool m_starts_full;
    const std::set<std::string, std::less<>> m_known_at_claim;
    /// By customer name.
    std::map<std::string, token_bucket, std::less<>> m_buckets;
    /// The customer and expiry of each open loan, by grant id.
    std::map<std::uint64_t, std::pair<std::string, time_point>> m_loans;
    std::uint64_t m_next_grant = 1;
};

} // namespace eelgrassdoor::limits
