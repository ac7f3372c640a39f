/// \file
/// Tests that daemons which learn of each other's starts late do not take the same free slots.
#include "jobs/slot_arbiter.hpp"

#include "check.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::require;

constexpr duration propagation_delay = milliseconds(30);
constexpr int slots = 8;

const std::vector<job_daemon> daemons{
    {"a", "zone-1"}, {"b", "zone-2"}, {"c", "zone-3"}, {"d", "zone-4"}};

routing::fleet_target target(const std::string& id) {
    return {
        .id = id, .service = "s", .endpoint = {}, .availability_zone = "zone-2", .slots = slots};
}

std::vector<slot_arbiter> all_daemons() {
    std::vector<slot_arbiter> all(daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        all[i].configure(daemons, daemons[i].host, propagation_delay);
    }
    return all;
}

/// Frees all slots of one target at once while every daemon has enough items for all of them.
/// Returns the number of items started beyond the target's slots. Without \p use_arbiter a daemon
/// takes every slot that is free as far as it knows.
int oversubscribed_starts(bool use_arbiter) {
    std::vector<slot_arbiter> all = all_daemons();
    // Time and daemon of each start.
    std::vector<std::pair<time_point, std::size_t>> started;
    const time_point begin = time_point() + seconds(1);
    for (time_point now = begin; now < begin + seconds(2); now += milliseconds(5)) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            const auto known_starts =
                std::count_if(started.begin(), started.end(), [&](const auto& each) {
                    return each.second == i || each.first + propagation_delay <= now;
                });
            int free = slots - static_cast<int>(known_starts);
            while (free > 0) {
                const bool may = all[i].may_start(target("t"), free, now);
                if (use_arbiter && !may) {
                    break;
                }
                all[i].record_start("t");
                started.emplace_back(now, i);
                --free;
            }
        }
    }
    require(started.size() >= slots, "at least as many items start as the target has slots");
    return static_cast<int>(started.size()) - slots;
}

void check_collisions() {
    require(oversubscribed_starts(false) > slots,
            "without the arbiter most starts exceed the slots");
    require(oversubscribed_starts(true) == 0, "with the arbiter no start exceeds the slots");
}

void check_own_zone_first() {
    std::vector<slot_arbiter> all = all_daemons();
    const time_point now = time_point() + seconds(1);
    for (slot_arbiter& each : all) {
        require(!each.may_start(target("t"), 1, now),
                "no daemon takes a slot that has just become free");
    }
    const time_point first = now + propagation_delay;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool may = all[i].may_start(target("t"), 1, first);
        require(may == (daemons[i].availability_zone == "zone-2"),
                "after one delay only the daemon in the target's zone may start");
    }
}

void check_reoccupied_slot() {
    slot_arbiter arbiter;
    arbiter.configure({{"b", "zone-2"}}, "b", propagation_delay);
    const time_point now = time_point() + seconds(1);
    require(!arbiter.may_start(target("t"), 1, now),
            "a slot that has just become free is not taken");
    require(!arbiter.may_start(target("t"), 0, now + milliseconds(20)),
            "a slot occupied by an online request is not taken");
    arbiter.begin_round();
    require(!arbiter.may_start(target("t"), 1, now + milliseconds(40)),
            "a slot that is free again is not taken at once");
    require(arbiter.next_start_time() == now + milliseconds(70),
            "the delay starts again when the slot is free again");
    require(arbiter.may_start(target("t"), 1, now + milliseconds(70)),
            "the slot is taken after the new delay");
}

void check_idle_daemons() {
    slot_arbiter arbiter;
    arbiter.configure(daemons, "a", propagation_delay);
    const time_point now = time_point() + seconds(1);
    (void)arbiter.may_start(target("t"), 1, now);
    require(arbiter.may_start(target("t"), 1, now + 4 * propagation_delay),
            "a daemon of any rank may start after four delays");
    arbiter.configure({{"a", "zone-1"}}, "a", propagation_delay);
    (void)arbiter.may_start(target("u"), 1, now);
    require(arbiter.may_start(target("u"), 1, now + propagation_delay),
            "a single daemon may start after one delay");
}

} // namespace

int main() {
    check_collisions();
    check_own_zone_first();
    check_reoccupied_slot();
    check_idle_daemons();
    return eelgrassdoor::test::finish();
}
