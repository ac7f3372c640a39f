/// \file
/// Tests that the fleet admits at most rate * t + burst of a customer in any time span while
/// daemons are killed, frozen and cut off, and that it goes on admitting requests.
#include "check.hpp"
#include "stand_in/rate_fleet_model.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

void check_calm() {
    rate_fleet_model fleet(12, 3);
    fleet.run(seconds(10));
    const double allowed = rate_fleet_model::rate * 10 + rate_fleet_model::burst;
    require(fleet.worst_excess() <= 1e-6, "a calm fleet keeps the rate in any time span");
    require(static_cast<double>(fleet.admitted().size()) >= 0.95 * allowed,
            "a calm fleet admits what the rate allows, but admitted " +
                std::to_string(fleet.admitted().size()));
}

void check_primary_is_killed() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        rate_fleet_model fleet(6, seed);
        fleet.run(seconds(2));
        for (int i = 0; i < 12; ++i) {
            fleet.kill_one();
            fleet.run(seconds(1));
        }
        require(fleet.admitted().size() >= 12 * rate_fleet_model::rate / 8,
                "a fleet whose daemons are killed one after the other goes on admitting requests");
    }
}

void check_faults() {
    property("daemons that are killed, frozen and cut off together keep the rate in any time span",
             [] {
                 const auto daemons = *rc::gen::inRange<std::size_t>(2, 13);
                 rate_fleet_model fleet(daemons, *rc::gen::arbitrary<std::uint32_t>());
                 fleet.run(seconds(1));
                 const int faults = *rc::gen::inRange(1, 12);
                 for (int i = 0; i < faults; ++i) {
                     switch (*rc::gen::inRange(0, 4)) {
                     case 0:
                         fleet.kill_one();
                         break;
                     case 1:
                         fleet.freeze_or_wake_one();
                         break;
                     case 2:
                         fleet.partition();
                         break;
                     default:
                         fleet.heal();
                     }
                     fleet.run(milliseconds(*rc::gen::inRange(50, 3000)));
                 }
                 RC_ASSERT(fleet.worst_excess() <= 1e-6);
             });
}

} // namespace

int main() {
    check_calm();
    check_primary_is_killed();
    check_faults();
    return eelgrassdoor::test::finish();
}
