/// \file
/// Defines a token that is collected in fractions. Pure: no I/O.
#pragma once

#include <cstdint>
#include <vector>

namespace eelgrassdoor::limits {

/// A fraction of a token that one holder has lent.
struct fractional_grant {
    /// Index of the lender, as numbered by the caller.
    std::size_t lender_index = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;
};

/// Fractions of one token, in tokens, that are used together or given back.
class fractional_token {
public:
    void add(const fractional_grant& fraction) {
        m_loans.push_back(fraction);
        m_sum += fraction.amount;
    }
    /// The amount still needed for a whole token.
    [[nodiscard]] double missing() const { return complete() ? 0 : 1 - m_sum; }
    [[nodiscard]] bool complete() const { return m_sum + sum_tolerance >= 1; }
    /// Every loan with the amount that goes back: all of it when the token is not complete.
    [[nodiscard]] std::vector<fractional_grant> refunds() const;

private:
    /// Absorbs the rounding of sums, so that eight eighths make a whole token.
    static constexpr double sum_tolerance = 1e-6;

    std::vector<fractional_grant> m_loans;
    double m_sum = 0;
};

} // namespace eelgrassdoor::limits
