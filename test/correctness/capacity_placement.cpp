/// \file
/// Tests that requests are placed by what targets take well.
#include "check.hpp"
#include "correctness/fixture/fleet_load_fixture.hpp"
#include "routing/fleet_load.hpp"

#include <map>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using namespace eelgrassdoor::test;

constexpr int slots = 8;

/// Four targets with the same load, of which "a" is \p slowness times as slow.
fleet_load measured_fleet(double slowness, time_point now) {
    fleet_load loads({.local_zone = "z", .max_queued_at_target = 2, .batch_reserve = 1});
    loads.set_targets({target("a", "z", slots), target("b", "z", slots), target("c", "z", slots),
                       target("d", "z", slots)});
    for (time_point at = now - seconds(8); at < now; at += milliseconds(40)) {
        for (const char* id : {"a", "b", "c", "d"}) {
            const double ms = 40 * (*id == 'a' ? slowness : 1);
            loads.record_event_gap(
                id, std::chrono::microseconds(static_cast<std::int64_t>(1000 * ms)), at);
        }
    }
    return loads;
}

/// Fills the fleet with online requests, and returns how many each target got.
std::map<std::string, int> fill(fleet_load& loads, time_point now, int most) {
    random_source random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < most; ++i) {
        const auto picked = loads.pick_online("s", no_constraints, now, random);
        if (!picked) {
            break;
        }
        loads.record_online_sent(picked->id);
        ++counts[picked->id];
    }
    return counts;
}

void check_online() {
    const time_point now = time_point() + std::chrono::hours(1);
    fleet_load slower = measured_fleet(2, now);
    random_source random(1);
    auto counts = fill(slower, now, 14);
    require(counts["a"] >= 1 && counts["a"] <= 3, "a target of half the speed gets half");
    counts = fill(slower, now, 100);
    require(!slower.pick_online("s", no_constraints, now, random), "full targets get no requests");
    require(slower.total("a", now).online == slots && slower.total("b", now).online == slots + 2,
            "a slow target holds fewer requests");

    fleet_load alike = measured_fleet(1, now);
    counts = fill(alike, now, 100);
    require(counts["a"] == slots + 2 && counts["b"] == slots + 2,
            "like targets hold their slots and queue");
}

void check_batch() {
    const time_point now = time_point() + std::chrono::hours(1);
    random_source random(1);
    fleet_load loads = measured_fleet(4, now);
    int at_slow = -1;
    const auto picked = loads.pick_batch("s", no_constraints, now, random,
                                         [&](const fleet_target& target, int free) {
                                             at_slow = target.id == "a" ? free : at_slow;
                                             return true;
                                         });
    require(picked && picked->id != "a", "batch items prefer targets that keep their pace");
    require(at_slow == 3, "a target of a quarter of the speed has fewer slots for batch items");
}

} // namespace

int main() {
    check_online();
    check_batch();
    return finish();
}
