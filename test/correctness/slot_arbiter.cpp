/// \file
/// Several daemons want the same free slots, and hear of each other's starts late.
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

/// Items that were started at one target beyond its slots, when all its slots become free at once
/// and every daemon has items for each. \p use_arbiter: otherwise a slot that looks free is taken.
int oversubscribed_starts(bool use_arbiter) {
    std::vector<slot_arbiter> all = all_daemons();
    // Starts, with the time when the others hear of them.
    std::vector<std::pair<time_point, std::size_t>> started;
    const time_point begin = time_point() + seconds(1);
    for (time_point now = begin; now < begin + seconds(2); now += milliseconds(5)) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            const auto known = std::count_if(started.begin(), started.end(), [&](const auto& each) {
                return each.second == i || each.first + propagation_delay <= now;
            });
            int free = slots - static_cast<int>(known);
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
    require(started.size() >= slots, "every slot is used");
    return static_cast<int>(started.size()) - slots;
}

void check_collisions() {
    require(oversubscribed_starts(false) > slots, "without turns most starts are in vain");
    require(oversubscribed_starts(true) == 0, "with turns no slot is taken twice");
}

void check_own_zone_first() {
    std::vector<slot_arbiter> all = all_daemons();
    const time_point now = time_point() + seconds(1);
    for (slot_arbiter& each : all) {
        require(!each.may_start(target("t"), 1, now), "a slot that has just become free is left");
    }
    const time_point first = now + propagation_delay;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool may = all[i].may_start(target("t"), 1, first);
        require(may == (daemons[i].availability_zone == "zone-2"),
                "the daemon of the target's zone has the first turn");
    }
}

void check_reoccupied_slot() {
    slot_arbiter arbiter;
    arbiter.configure({{"b", "zone-2"}}, "b", propagation_delay);
    const time_point now = time_point() + seconds(1);
    require(!arbiter.may_start(target("t"), 1, now), "one slot is free");
    require(!arbiter.may_start(target("t"), 0, now + milliseconds(20)),
            "an online request takes it");
    arbiter.begin_round();
    require(!arbiter.may_start(target("t"), 1, now + milliseconds(40)), "when it is free again");
    require(arbiter.next_start_time() == now + milliseconds(70), "its time begins anew");
    require(arbiter.may_start(target("t"), 1, now + milliseconds(70)), "and then it is used");
}

void check_idle_daemons() {
    slot_arbiter arbiter;
    arbiter.configure(daemons, "a", propagation_delay);
    const time_point now = time_point() + seconds(1);
    (void)arbiter.may_start(target("t"), 1, now);
    require(arbiter.may_start(target("t"), 1, now + 4 * propagation_delay),
            "a slot that no other daemon wants is used in the end");
    arbiter.configure({{"a", "zone-1"}}, "a", propagation_delay);
    (void)arbiter.may_start(target("u"), 1, now);
    require(arbiter.may_start(target("u"), 1, now + propagation_delay),
            "a daemon alone waits for nobody");
}

} // namespace

int main() {
    check_collisions();
    check_own_zone_first();
    check_reoccupied_slot();
    check_idle_daemons();
    return eelgrassdoor::test::finish();
}
