/// \file
/// Tests that the daemons' shares of a customer's rate together admit at most rate * t + burst in
/// any time span t.
#include "base/random_source.hpp"
#include "check.hpp"
#include "stand_in/shares_model.hpp"

#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

void check_bound() {
    property("from the start of the fleet, all daemons together admit at most rate * t + burst",
             [] {
                 time_point now{};
                 auto shares = make_fleet(8, true, now);
                 int admitted = 0;
                 const int steps = *rc::gen::inRange(50, 600);
                 for (int i = 0; i < steps; ++i) {
                     const auto at = *rc::gen::inRange<std::size_t>(0, 8);
                     now += milliseconds(*rc::gen::inRange(0, 30));
                     admitted += admit(shares, at, now) ? 1 : 0;
                 }
                 RC_ASSERT(admitted <= 40 * to_seconds(now - time_point{}) + 40 + 1e-6);
             });
}

void check_any_window() {
    property("in any time span, all daemons together admit at most rate * t + burst", [] {
        random_source random(*rc::gen::arbitrary<std::uint32_t>());
        time_point now{};
        auto shares = make_fleet(8, true, now);
        std::vector<time_point> admitted;
        for (int i = 0; i < 40; ++i) {
            // Periods of low load, in which loans stay unspent, and load peaks at all daemons.
            const bool pulse = random.uniform() < 0.25;
            for (int k = 0; k < (pulse ? 120 : 20); ++k) {
                const auto at = static_cast<std::size_t>(random.uniform() * 8) % 8;
                now += milliseconds(pulse ? 2 : 60);
                if (admit(shares, at, now)) {
                    admitted.push_back(now);
                }
            }
        }
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            for (std::size_t last = first; last < admitted.size(); ++last) {
                const double span = to_seconds(admitted[last] - admitted[first]);
                RC_ASSERT(static_cast<double>(last - first + 1) <= 40 * span + 40 + 1e-6);
            }
        }
    });
}

void check_one_sided() {
    time_point now{};
    auto shares = make_fleet(8, true, now);
    int refused = 0;
    for (int i = 0; i < 360; ++i) {
        now += milliseconds(28);
        refused += admit(shares, 0, now) ? 0 : 1;
    }
    require(refused == 0,
            "a daemon that gets 90% of the whole rate must refuse nothing, but refused " +
                std::to_string(refused));
}

void check_restart() {
    time_point now{};
    auto fresh = make_fleet(4, false, now);
    require(!fresh[0].try_take("c", now),
            "a share starts empty when an earlier run may have spent its tokens");
    now += seconds(1);
    require(fresh[0].try_take("c", now), "an empty share has a token after 1 s of fill");
    fresh[0].configure({{"c", {40, 40}}, {"new", {8, 8}}}, 4, now);
    require(fresh[0].try_take("new", now),
            "the share of a customer that is new to the fleet starts full");
    require(fresh[0].try_take("unlimited", now), "a customer without a limit is always admitted");
}

} // namespace

int main() {
    check_bound();
    check_any_window();
    check_one_sided();
    check_restart();
    return eelgrassdoor::test::finish();
}
