/// \file
/// Tests which target gets a request, and which batch streams are preempted.
#include "routing/fleet_load.hpp"

#include "base/digest.hpp"
#include "check.hpp"
#include "correctness/fixture/fleet_load_fixture.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using namespace eelgrassdoor::test;

target_constraints excluding(const std::string& id) {
    return {.excluded = {id}, .version = {}};
}

std::vector<peer_target_load> peer_loads(const load_by_target& loads) {
    std::vector<peer_target_load> out;
    for (const auto& [id, load] : loads) {
        out.push_back({stable_hash(id), load});
    }
    return out;
}

fleet_load two_targets() {
    fleet_load loads({.local_zone = "a", .max_queued_at_target = 1, .batch_reserve = 1});
    loads.set_targets({target("x", "a"), target("y", "b")});
    return loads;
}

void check_online() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    require(loads.pick_online("s", no_constraints, now, random)->id == "x",
            "a target in the local zone is preferred");
    loads.record_online_sent("x");
    require(loads.pick_online("s", no_constraints, now, random)->id == "y",
            "a target in another zone is preferred to a local one that is a request busier");
    loads.update_peer_load("p", peer_loads({{"y", {3, 0}}}), now);
    require(loads.pick_online("s", no_constraints, now, random)->id == "x",
            "load reported by other daemons counts");
    loads.update_peer_load("p", peer_loads({{"y", {3, 0}}, {"x", {2, 0}}}), now);
    require(!loads.pick_online("s", no_constraints, now, random), "full targets get no requests");
    require(loads.pick_online("s", no_constraints, now + seconds(3), random).has_value(),
            "a load report expires when its daemon sends no other");
    require(!loads.pick_online("other", no_constraints, now, random),
            "only targets of the requested service are picked");
}

void check_evacuated_zones() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    loads.set_evacuated_zones({"a"}, now);
    for (int i = 0; i < 3; ++i) {
        require(loads.pick_online("s", no_constraints, now, random)->id == "y",
                "an evacuated zone gets no online request while another zone has targets");
        loads.record_online_sent("y");
    }
    require(!loads.pick_online("s", no_constraints, now, random),
            "an evacuated zone gets no online request although the other zone is full");
    loads.record_failure("y", target_failure::unreachable, now);
    loads.record_failure("y", target_failure::unreachable, now);
    require(!loads.pick_online("s", excluding("y"), now, random),
            "an evacuated zone gets no retry of a request that failed elsewhere");
    require(!loads.pick_batch("s", excluding("y"), now, random, any_target),
            "an evacuated zone gets no batch item");
    loads.set_targets({target("x", "a"), target("y", "b"), target("z", "a")});
    require(!loads.pick_online("s", excluding("y"), now, random),
            "a target that appears in an evacuated zone gets no request");
    loads.set_evacuated_zones({}, now);
    require(loads.pick_online("s", excluding("y"), now, random).has_value(),
            "a zone gets requests again when its evacuation ends");
}

void check_cold_after_evacuation() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    // One of two senders, which has half of the burst of 2.
    loads.cold_targets().set_limits({{"s", {seconds(3), 4}}}, now);
    loads.cold_targets().set_daemons({{"h", "a"}, {"other", "b"}}, "h");
    loads.set_evacuated_zones({"a"}, now);
    loads.set_evacuated_zones({}, now + seconds(5));
    require(!loads.pick_batch("s", excluding("y"), now + seconds(6), random, any_target),
            "a target that may be cold gets no batch item");
    int sent = 0;
    while (sent < 100 && loads.pick_online("s", excluding("y"), now + seconds(6), random)) {
        ++sent;
    }
    require(sent == 1, "a target that may be cold gets this daemon's share, not " +
                           std::to_string(sent) + " requests at once");
    require(loads.pick_batch("s", excluding("y"), now + seconds(8), random, any_target).has_value(),
            "targets are warm when the cold time after the evacuation is over");
}

void check_failures() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    loads.record_failure("x", target_failure::response_failed, now);
    require(loads.pick_online("s", no_constraints, now, random)->id == "x",
            "one failed response does not start a backoff");
    loads.record_failure("x", target_failure::response_failed, now);
    require(loads.pick_online("s", no_constraints, now, random)->id == "y",
            "a second failed response in a row starts the backoff");
    loads.record_failure("y", target_failure::unreachable, now);
    require(loads.pick_online("s", no_constraints, now, random).has_value(),
            "targets in backoff are picked when there are no others");
    loads.record_success("x", now);
    require(loads.pick_online("s", no_constraints, now, random)->id == "x",
            "a successful response ends the backoff");
    const time_point later = now + fleet_load::initial_backoff;
    loads.record_failure("y", target_failure::unreachable, later);
    loads.record_online_sent("x");
    require(
        loads.pick_online("s", no_constraints, later + fleet_load::initial_backoff, random)->id ==
            "x",
        "a second failure doubles the backoff");
    require(loads.pick_online("s", no_constraints, later + 2 * fleet_load::initial_backoff, random)
                    ->id == "y",
            "the doubled backoff ends");
    fleet_target restarted = target("y", "b");
    restarted.started_at = 5;
    loads.set_targets({target("x", "a"), restarted});
    require(loads.pick_online("s", no_constraints, later, random)->id == "y",
            "a restarted target with the same id has no failures");
    restarted.leaving = true;
    loads.set_targets({restarted});
    require(!loads.pick_online("s", no_constraints, later, random),
            "a leaving target gets no requests");
}

void check_zones() {
    const time_point now{};
    random_source random(1);
    fleet_load loads({.local_zone = "a"});
    loads.set_targets(
        {target("own", "a"), target("b1", "b"), target("b2", "b"), target("b3", "b")});
    for (int i = 0; i < 2; ++i) {
        loads.record_online_sent("own");
    }
    loads.record_failure("b1", target_failure::unreachable, now);
    require(loads.pick_online("s", no_constraints, now, random)->availability_zone == "b",
            "one unreachable target does not put its zone into backoff");
    loads.record_failure("b2", target_failure::unreachable, now);
    require(loads.pick_online("s", no_constraints, now, random)->id == "own",
            "a second unreachable target puts its zone into backoff");
    require(loads.pick_online("s", no_constraints, now + fleet_load::initial_backoff, random)
                    ->availability_zone == "b",
            "the zone is used again after its backoff");
    loads.record_failure("b3", target_failure::unreachable, now + fleet_load::initial_backoff);
    require(
        loads.pick_online("s", no_constraints, now + 2 * fleet_load::initial_backoff, random)->id ==
            "own",
        "the next failure doubles the backoff of the zone");
    loads.record_success("b3", now);
    require(loads.pick_online("s", no_constraints, now + 2 * fleet_load::initial_backoff, random)
                    ->availability_zone == "b",
            "a successful response ends the backoff of the zone");
}

void check_batch() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    require(loads.pick_batch("s", no_constraints, now, random, any_target).has_value(),
            "batch items use free slots");
    loads.record_batch_sent("x");
    loads.record_batch_sent("y");
    require(!loads.pick_batch("s", no_constraints, now, random, any_target),
            "batch items leave the reserve free");
    require(loads.batch_streams_to_preempt("x", "me", now) == 0,
            "no batch stream stops while there are free slots");
    loads.record_online_sent("x");
    loads.record_online_sent("x");
    require(loads.batch_streams_to_preempt("x", "me", now) == 1,
            "one batch stream stops when online requests need its slot");
    loads.update_peer_load("p", peer_loads({{"x", {0, 2}}}), now);
    require(loads.batch_streams_to_preempt("x", "me", now) == 1,
            "when two streams of another daemon are not enough, this daemon also stops its one");
    loads.update_peer_load("p", peer_loads({{"x", {0, 3}}}), now);
    require(loads.batch_streams_to_preempt("x", "me", now) == 1,
            "no more streams stop than this daemon has");
}

/// Guards against sending requests to an engine, one of eight, that stalls or fails part of its
/// responses while its health check passes and each daemon has only few requests at it.
void check_degraded() {
    const time_point now{};
    random_source random(1);
    fleet_load loads({.local_zone = "a"});
    std::vector<fleet_target> targets;
    for (int i = 0; i < 8; ++i) {
        targets.push_back(target("t" + std::to_string(i), "a", 8));
    }
    loads.set_targets(targets);
    const auto picks = [&](const std::string& id, time_point at) {
        int count = 0;
        for (int i = 0; i < 200; ++i) {
            count += loads.pick_online("s", no_constraints, at, random)->id == id ? 1 : 0;
        }
        return count;
    };
    require(picks("t0", now) > 0, "a healthy target gets requests");
    loads.record_stall("t0");
    require(picks("t0", now) == 0, "a target with a stalled request gets none");
    loads.record_stall_end("t0");
    require(picks("t0", now) > 0, "the target gets requests again when the stall has ended");
    loads.update_peer_load("p", peer_loads({{"t1", {.online = 1, .stalled = 1}}}), now);
    require(picks("t1", now) == 0, "a stall reported by another daemon counts");
    loads.update_peer_load("p", {}, now);
    require(picks("t1", now) > 0,
            "the target gets requests again when the other daemon reports none");

    loads.record_failure("t2", target_failure::response_failed, now);
    loads.update_peer_load("p", peer_loads({{"t2", {.failures = 1}}}), now);
    loads.record_success("t2", now);
    require(picks("t2", now) > 0, "two failed responses do not make a target degraded");
    loads.update_peer_load("q", peer_loads({{"t2", {.failures = 1}}}), now);
    require(picks("t2", now) == 0,
            "three failed responses over all daemons make a target degraded");
    const time_point later = now + fleet_load::failure_window + milliseconds(1);
    require(loads.local_load(later).empty() && picks("t2", later) > 0,
            "failed responses are not counted after the failure window");

    loads.record_stall("t0");
    loads.record_stall("t1");
    require(picks("t0", later) == 0 && picks("t1", later) == 0,
            "a quarter of the targets may be avoided as degraded");
    loads.record_stall("t2");
    require(picks("t0", later) + picks("t1", later) + picks("t2", later) > 0,
            "when more than a quarter are degraded, none is avoided");
}

/// The incrementally updated sums must equal those over the unexpired load reports.
void check_sums() {
    property("the load at a target is the sum of the latest unexpired reports", [] {
        fleet_load loads({.local_zone = "z"});
        loads.set_targets({target("x", "z"), target("y", "z")});
        struct peer_report {
            load_by_target loads;
            time_point at;
        };
        std::map<std::string, peer_report> last;
        time_point now{};
        for (int step = 0; step < 40; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 700));
            const std::string peer(1, *rc::gen::element('p', 'q', 'r'));
            const std::string id(1, *rc::gen::element('x', 'y', 'u'));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                loads.remove_peer(peer);
                last.erase(peer);
                break;
            case 1:
                // A target list that lacks one of the targets must not change any sum.
                loads.set_targets({target("x", "z"), target(id == "x" ? "y" : id, "z")});
                break;
            default:
                last[peer] = {{{id, {*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9)}}}, now};
                loads.update_peer_load(peer, peer_loads(last[peer].loads), now);
            }
            for (const char* each : {"x", "y", "u"}) {
                target_load sum;
                for (const auto& [name, report] : last) {
                    const auto found = report.loads.find(each);
                    if (found != report.loads.end() &&
                        now - report.at <= fleet_load::peer_load_lifetime) {
                        sum.online += found->second.online;
                        sum.batch += found->second.batch;
                    }
                }
                RC_ASSERT(loads.total(each, now) == sum);
            }
        }
    });
}

void check_leaving() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    fleet_target x = target("x", "a");
    x.started_at = 7;
    loads.set_targets({x, target("y", "b")});
    require(loads.mark_leaving({stable_hash("x"), 7}),
            "the first announcement of a leaving target is new");
    require(!loads.mark_leaving({stable_hash("x"), 7}), "a repeated announcement is not new");
    require(loads.pick_online("s", no_constraints, now, random)->id == "y",
            "a leaving target gets no online request");
    require(loads.pick_batch("s", no_constraints, now, random, any_target)->id == "y",
            "a leaving target gets no batch item");
    x.slots = 3;
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_constraints, now, random)->id == "y",
            "a changed list entry does not end the leaving state");
    loads.set_targets({target("y", "b")});
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_constraints, now, random)->id == "y",
            "a target removed from the list and listed again is still leaving");
    require(loads.leaving() == std::vector<target_instance>{{stable_hash("x"), 7}},
            "a leaving target is reported to other daemons");
    require(!loads.pick_online("s", excluding("y"), now, random),
            "a leaving target is not picked even when no other is left");
    x.started_at = 8;
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_constraints, now, random)->id == "x",
            "a later instance with the same id gets requests");
    require(loads.leaving().empty(), "an outdated leaving instance is not reported");
    x.started_at = 6;
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", excluding("y"), now, random).has_value(),
            "an instance that started with an earlier clock gets requests");
    fleet_load stale = two_targets();
    stale.mark_leaving({stable_hash("late"), 5});
    fleet_target late = target("late", "a");
    late.started_at = 5;
    stale.set_targets({late});
    require(!stale.pick_online("s", no_constraints, now, random),
            "an announcement received before the list entry takes effect");
}

/// Together, daemons must free exactly the slots that online requests lack.
void check_preemption_total() {
    property("daemons with the same view of the load together stop exactly the excess streams", [] {
        const int online = *rc::gen::inRange(0, 12);
        std::map<std::string, int> batch;
        for (const char* name : {"a", "b", "c"}) {
            batch[name] = *rc::gen::inRange(0, 6);
        }
        int stopped = 0;
        int held = 0;
        for (const auto& [self, own] : batch) {
            fleet_load loads({.local_zone = "z"});
            loads.set_targets({target("x", "z", 8)});
            for (int i = 0; i < own; ++i) {
                loads.record_batch_sent("x");
            }
            loads.update_peer_load("front", peer_loads({{"x", {online, 0}}}), {});
            for (const auto& [peer, theirs] : batch) {
                if (peer != self) {
                    loads.update_peer_load(peer, peer_loads({{"x", {0, theirs}}}), {});
                }
            }
            stopped += loads.batch_streams_to_preempt("x", self, {});
            held += own;
        }
        RC_ASSERT(stopped == std::clamp(online + held - 8, 0, held));
    });
}

} // namespace

int main() {
    check_online();
    check_evacuated_zones();
    check_cold_after_evacuation();
    check_failures();
    check_zones();
    check_batch();
    check_sums();
    check_degraded();
    check_leaving();
    check_preemption_total();
    return eelgrassdoor::test::finish();
}
