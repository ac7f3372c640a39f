#include "limits/fractional_token.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

std::vector<fractional_grant> fractional_token::refunds() const {
    std::vector<fractional_grant> out = m_loans;
    double needed = complete() ? 1 : 0;
    for (fractional_grant& fraction : out) {
        const double used = std::min(needed, fraction.amount);
        needed -= used;
        fraction.amount -= used;
    }
    return out;
}

} // namespace eelgrassdoor::limits
