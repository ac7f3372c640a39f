/// \file
/// Defines a token that is collected in fractions. Pure: no I/O.
#pragma once

#include <cstdint>
#include <vector>

namespace eelgrassdoor::limits {

/// A fraction that one part lent.
struct collected {
    /// The caller's number of the part.
    std::size_t part = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;
};

/// Fractions that are used together or given back.
class collection {
public:
    void add(const collected& c) {
        m_loans.push_back(c);
        m_sum += c.amount;
    }
    /// What is missing to a whole token.
    [[nodiscard]] double missing() const { return complete() ? 0 : 1 - m_sum; }
    [[nodiscard]] bool complete() const { return m_sum + rounding >= 1; }
    /// Every loan with the amount that goes back: all of it when the token is not complete.
    [[nodiscard]] std::vector<collected> settle() const;

private:
    /// Absorbs the rounding of sums, so that eight eighths make a whole token.
    static constexpr double rounding = 1e-6;

    std::vector<collected> m_loans;
    double m_sum = 0;
};

} // namespace eelgrassdoor::limits
