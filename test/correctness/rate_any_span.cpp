/// \file
/// Tests that all daemons together admit at most rate * t + burst in a time span t that starts with
/// unspent loans.
#include "check.hpp"
#include "stand_in/shares_model.hpp"

#include <string>
#include <vector>

int main() {
    using namespace eelgrassdoor;
    using namespace eelgrassdoor::test;
    time_point now = time_point() + seconds(1);
    constexpr double rate = 40;
    constexpr double burst = 24;
    std::vector<customer_shares> shares(8, customer_shares(true));
    for (customer_shares& share : shares) {
        share.configure({{"c", {rate, burst}}}, shares.size(), now);
    }
    // One daemon needs more tokens than its share has, and borrows more than it then spends.
    for (int i = 0; i < 4; ++i) {
        (void)admit(shares, 0, now);
        now += milliseconds(1);
    }
    // The lenders' shares fill up again before the loans expire.
    now += customer_shares::loan_ttl - milliseconds(20);
    const time_point begin = now;
    int admitted = 0;
    // Every daemon gets more requests at one time than it has tokens.
    for (int i = 0; i < 40; ++i) {
        for (customer_shares& share : shares) {
            admitted += share.try_take("c", now) ? 1 : 0;
        }
    }
    const double most = rate * to_seconds(now - begin) + burst;
    require(admitted <= most, "at most rate * t + burst requests are admitted, but were " +
                                  std::to_string(admitted) + " with a bound of " +
                                  std::to_string(most));
    return finish();
}
