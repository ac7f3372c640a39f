/// \file
/// Defines a token that is collected in fractions. Performs no I/O.
#pragma once

#include <cstdint>
#include <vector>

namespace eelgrassdoor::limits {

/// A fraction of a token that one holder has lent.
struct fractional_grant {
    /// Index of the lender, as numbered by the caller.
    std::size_t lender_index = 0;
    /// The grant::id under which the lender takes it back.
    std::uint64_t grant_id = 0;
    /// In tokens.
    double amount = 0;
};

/// Collects fractions of one token from several lenders. Once they sum to a whole token they are
/// spent together; otherwise all of them are given back. Not thread-safe.
class fractional_token {
public:
    void add(const fractional_grant& fraction) {
        m_loans.push_back(fraction);
        m_sum += fraction.amount;
    }
    /// The amount still needed for a whole token.
    [[nodiscard]] double missing() const { return complete() ? 0 : 1 - m_sum; }
    /// Whether the fractions sum to a whole token.
    [[nodiscard]] bool complete() const { return m_sum + sum_tolerance >= 1; }
    /// Every fraction with the amount to return to its lender, which may be 0: what exceeds one
    /// token when the token is complete, and all of it otherwise.
    [[nodiscard]] std::vector<fractional_grant> refunds() const;

private:
    /// Absorbs the rounding of sums, so that eight eighths make a whole token.
    static constexpr double sum_tolerance = 1e-6;

    std::vector<fractional_grant> m_loans;
    double m_sum = 0;
};

} // namespace eelgrassdoor::limits
