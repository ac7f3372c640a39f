/// \file
/// Several daemons want the same free slots, and hear of each other's starts late.
#include "check.hpp"
#include "jobs/slot_arbiter.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::jobs;
using eelgrassdoor::test::require;

constexpr duration news_time = milliseconds(30);
constexpr int slots = 8;

const std::vector<job_daemon> daemons{
    {"a", "zone-1"}, {"b", "zone-2"}, {"c", "zone-3"}, {"d", "zone-4"}};

routing::fleet_target target(const std::string& id) {
    return {
        .id = id, .service = "s", .endpoint = {}, .availability_zone = "zone-2", .slots = slots};
}

std::vector<start_turns> all_daemons() {
    std::vector<start_turns> all(daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        all[i].configure(daemons, daemons[i].host, news_time);
    }
    return all;
}

/// Items that were started at one target beyond its slots, when all its slots become free at once
/// and every daemon has items for each. \p takes_turns: otherwise a slot that looks free is taken.
int starts_beyond_slots(bool takes_turns) {
    std::vector<start_turns> all = all_daemons();
    // Starts, with the time when the others hear of them.
    std::vector<std::pair<time_point, std::size_t>> started;
    const time_point begin = time_point() + seconds(1);
    for (time_point now = begin; now < begin + seconds(2); now += milliseconds(5)) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            const auto known = std::count_if(started.begin(), started.end(), [&](const auto& each) {
                return each.second == i || each.first + news_time <= now;
            });
            int free = slots - static_cast<int>(known);
            while (free > 0) {
                const bool may = all[i].may_start(target("t"), free, now);
                if (takes_turns && !may) {
                    break;
                }
                all[i].note_started("t");
                started.emplace_back(now, i);
                --free;
            }
        }
    }
    require(started.size() >= slots, "every slot is used");
    return static_cast<int>(started.size()) - slots;
}

void check_collisions() {
    require(starts_beyond_slots(false) > slots, "without turns most starts are in vain");
    require(starts_beyond_slots(true) == 0, "with turns no slot is taken twice");
}

void check_own_zone_first() {
    std::vector<start_turns> all = all_daemons();
    const time_point now = time_point() + seconds(1);
    for (start_turns& each : all) {
        require(!each.may_start(target("t"), 1, now), "a slot that has just become free is left");
    }
    const time_point first = now + news_time;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool may = all[i].may_start(target("t"), 1, first);
        require(may == (daemons[i].availability_zone == "zone-2"),
                "the daemon of the target's zone has the first turn");
    }
}

void check_slot_is_taken_back() {
    start_turns turns;
    turns.configure({{"b", "zone-2"}}, "b", news_time);
    const time_point now = time_point() + seconds(1);
    require(!turns.may_start(target("t"), 1, now), "one slot is free");
    require(!turns.may_start(target("t"), 0, now + milliseconds(20)), "an online request takes it");
    turns.begin_round();
    require(!turns.may_start(target("t"), 1, now + milliseconds(40)), "when it is free again");
    require(turns.next_turn() == now + milliseconds(70), "its time begins anew");
    require(turns.may_start(target("t"), 1, now + milliseconds(70)), "and then it is used");
}

void check_silent_daemons() {
    start_turns turns;
    turns.configure(daemons, "a", news_time);
    const time_point now = time_point() + seconds(1);
    (void)turns.may_start(target("t"), 1, now);
    require(turns.may_start(target("t"), 1, now + 4 * news_time),
            "a slot that no other daemon wants is used in the end");
    turns.configure({{"a", "zone-1"}}, "a", news_time);
    (void)turns.may_start(target("u"), 1, now);
    require(turns.may_start(target("u"), 1, now + news_time), "a daemon alone waits for nobody");
}

} // namespace

int main() {
    check_collisions();
    check_own_zone_first();
    check_slot_is_taken_back();
    check_silent_daemons();
    return eelgrassdoor::test::finish();
}
