#include "limits/fractional_token.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

std::vector<collected> collection::settle() const {
    std::vector<collected> out = m_loans;
    double needed = complete() ? 1 : 0;
    for (collected& c : out) {
        const double used = std::min(needed, c.amount);
        needed -= used;
        c.amount -= used;
    }
    return out;
}

} // namespace eelgrassdoor::limits
