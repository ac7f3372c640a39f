/// \file
/// Defines a model of daemons that share one customer's rate, with loans but without datagrams.
#pragma once

#include "limits/customer_shares.hpp"

#include <vector>

namespace eelgrassdoor::test {

using namespace limits;

/// The limit of the customer: 40 tokens/s and a burst of 40.
inline const customer_limits model_limits{{"c", {40, 40}}};

/// Creates the shares of \p daemons daemons. They start full with \p first_start and empty
/// otherwise.
inline std::vector<customer_shares> make_fleet(std::size_t daemons, bool first_start,
                                               time_point now) {
    std::vector<customer_shares> shares(daemons, customer_shares(first_start));
    for (customer_shares& each : shares) {
        each.configure(model_limits, daemons, now);
    }
    return shares;
}

/// Admits a request at daemon \p at by its own tokens or, if these do not suffice, by borrowing
/// from all others.
inline bool admit(std::vector<customer_shares>& shares, std::size_t at, time_point now) {
    if (shares[at].try_take("c", now)) {
        return true;
    }
    if (!shares[at].try_begin_borrow("c", now)) {
        return false;
    }
    const double want = shares[at].borrow_amount("c");
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (i != at) {
            shares[at].receive("c", shares[i].lend("c", want, now), now);
        }
    }
    return shares[at].try_take("c", now);
}

} // namespace eelgrassdoor::test
