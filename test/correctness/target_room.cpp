/// \file
/// Guards against requests that wait for a place and are not woken when one becomes free, or whose
/// wait is predicted from places that they cannot use.
#include "base/digest.hpp"
#include "check.hpp"
#include "routing/fleet_load.hpp"

#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using routing::fleet_load;
using routing::room_source;

const time_point start = time_point() + std::chrono::hours(1);
constexpr int slots = 8;

fleet_load make_loads() {
    fleet_load loads({.local_zone = "a"});
    std::vector<routing::fleet_target> targets;
    for (const char* id : {"i-1", "i-2"}) {
        routing::fleet_target target;
        target.id = id;
        target.service = "s";
        target.availability_zone = "a";
        target.slots = slots;
        target.started_at = 1;
        targets.push_back(std::move(target));
    }
    loads.set_targets(std::move(targets));
    return loads;
}

void check_wakes() {
    fleet_load loads = make_loads();
    std::vector<room_source> seen;
    loads.on_room = [&seen](room_source source) { seen.push_back(source); };
    loads.record_online_sent("i-1");
    require(seen.empty(), "a request that is sent makes no room");
    loads.record_online_ended("i-1");
    require(seen == std::vector{room_source::own_request}, "an ended request makes room");
    seen.clear();
    loads.update_peer_load("p", {{stable_hash("i-1"), {.online = 2}}}, start);
    loads.update_peer_load("p", {{stable_hash("i-1"), {.online = 3}}}, start);
    require(seen.empty(), "a report of more requests makes no room");
    loads.update_peer_load("p", {{stable_hash("i-1"), {.online = 1}}}, start);
    loads.update_peer_load("p", {}, start);
    require(seen == std::vector{room_source::peer_report, room_source::peer_report},
            "a report of fewer requests, or of none, makes room");
}

void check_places() {
    fleet_load loads = make_loads();
    const int limit = slots + routing::placement_options().max_queued_at_target;
    loads.record_online_sent("i-1");
    loads.update_peer_load("p", {{stable_hash("i-1"), {.online = 4}}}, start);
    const routing::online_places all = loads.count_places("s", {}, start);
    require(all.places == 2 * limit && all.held == 1 && all.free == 2 * limit - 5,
            "places of both targets count");
    require(all.idle_targets == 1 && all.daemons == 2, "one target is idle, two daemons report");
    const routing::online_places one = loads.count_places("s", {.excluded = {"i-2"}}, start);
    require(one.places == limit && one.idle_targets == 0, "excluded targets do not count");
    require(loads.count_places("other", {}, start).places == 0, "nor do those of other services");
    loads.mark_leaving({stable_hash("i-1"), 1});
    loads.mark_leaving({stable_hash("i-2"), 1});
    require(loads.count_places("s", {}, start).places == 0, "nor do leaving ones");
}

} // namespace

int main() {
    check_wakes();
    check_places();
    return finish();
}
