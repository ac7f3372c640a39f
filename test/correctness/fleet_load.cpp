/// \file
/// Which target gets a request, and which batch streams make room.
#include "routing/fleet_load.hpp"

#include "base/digest.hpp"
#include "check.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

const std::set<std::string, std::less<>> no_exclusions;

bool any_target(const fleet_target& /*target*/, int /*free*/) {
    return true;
}

fleet_target target(const std::string& id, const std::string& zone, int slots = 2) {
    return {.id = id,
            .service = "s",
            .endpoint = "127.0.0.1:1",
            .availability_zone = zone,
            .slots = slots};
}

std::vector<peer_target_load> peer_loads(const load_by_target& loads) {
    std::vector<peer_target_load> out;
    for (const auto& [id, share] : loads) {
        out.push_back({stable_hash(id), share});
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
    require(loads.pick_online("s", no_exclusions, now, random)->id == "x",
            "the own zone goes first");
    loads.record_online_sent("x");
    require(loads.pick_online("s", no_exclusions, now, random)->id == "y",
            "a target of another zone goes before one that is a request busier");
    loads.update_peer_load("p", peer_loads({{"y", {3, 0}}}), now);
    require(loads.pick_online("s", no_exclusions, now, random)->id == "x",
            "load of other daemons counts");
    loads.update_peer_load("p", peer_loads({{"y", {3, 0}}, {"x", {2, 0}}}), now);
    require(!loads.pick_online("s", no_exclusions, now, random), "full targets get nothing");
    require(loads.pick_online("s", no_exclusions, now + seconds(3), random).has_value(),
            "what a silent daemon told is forgotten");
    require(!loads.pick_online("other", no_exclusions, now, random), "only targets of the service");
}

void check_failures() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    loads.record_failure("x", target_failure::response_failed, now);
    require(loads.pick_online("s", no_exclusions, now, random)->id == "x",
            "one answer that breaks off does not make a target rest");
    loads.record_failure("x", target_failure::response_failed, now);
    require(loads.pick_online("s", no_exclusions, now, random)->id == "y",
            "a second in a row does");
    loads.record_failure("y", target_failure::unreachable, now);
    require(loads.pick_online("s", no_exclusions, now, random).has_value(),
            "resting targets are better than none");
    loads.record_success("x");
    require(loads.pick_online("s", no_exclusions, now, random)->id == "x",
            "an answer ends the rest");
    const time_point later = now + fleet_load::initial_backoff;
    loads.record_failure("y", target_failure::unreachable, later);
    loads.record_online_sent("x");
    require(
        loads.pick_online("s", no_exclusions, later + fleet_load::initial_backoff, random)->id ==
            "x",
        "a second failure rests longer");
    require(loads.pick_online("s", no_exclusions, later + 2 * fleet_load::initial_backoff, random)
                    ->id == "y",
            "but ends as well");
    fleet_target restarted = target("y", "b");
    restarted.started_at = 5;
    loads.set_targets({target("x", "a"), restarted});
    require(loads.pick_online("s", no_exclusions, later, random)->id == "y",
            "a new start under the same id begins without failures");
    restarted.leaving = true;
    loads.set_targets({restarted});
    require(!loads.pick_online("s", no_exclusions, later, random),
            "a leaving target gets no new work");
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
    require(loads.pick_online("s", no_exclusions, now, random)->availability_zone == "b",
            "one target that cannot be reached says nothing of its zone");
    loads.record_failure("b2", target_failure::unreachable, now);
    require(loads.pick_online("s", no_exclusions, now, random)->id == "own",
            "a second one makes all of the zone rest");
    require(loads.pick_online("s", no_exclusions, now + fleet_load::initial_backoff, random)
                    ->availability_zone == "b",
            "the zone is tried again after the rest");
    loads.record_failure("b3", target_failure::unreachable, now + fleet_load::initial_backoff);
    require(
        loads.pick_online("s", no_exclusions, now + 2 * fleet_load::initial_backoff, random)->id ==
            "own",
        "each failure makes the zone rest longer");
    loads.record_success("b3");
    require(loads.pick_online("s", no_exclusions, now + 2 * fleet_load::initial_backoff, random)
                    ->availability_zone == "b",
            "an answer ends the rest of the zone");
}

void check_batch() {
    const time_point now{};
    random_source random(1);
    fleet_load loads = two_targets();
    require(loads.pick_batch("s", no_exclusions, now, random, any_target).has_value(),
            "batch uses free slots");
    loads.record_batch_sent("x");
    loads.record_batch_sent("y");
    require(!loads.pick_batch("s", no_exclusions, now, random, any_target),
            "but leaves the reserve free");
    require(loads.batch_streams_to_preempt("x", "me", now) == 0,
            "nothing stops while there is room");
    loads.record_online_sent("x");
    loads.record_online_sent("x");
    require(loads.batch_streams_to_preempt("x", "me", now) == 1,
            "batch makes room for online requests");
    loads.update_peer_load("p", peer_loads({{"x", {0, 2}}}), now);
    require(loads.batch_streams_to_preempt("x", "me", now) == 1,
            "the daemon with more streams there makes room first");
    loads.update_peer_load("p", peer_loads({{"x", {0, 3}}}), now);
    require(loads.batch_streams_to_preempt("x", "me", now) == 1, "and no more than there is");
}

/// Load pattern: an engine in eight hangs or fails part of its answers while its health check is
/// good, and every daemon has only few requests at it.
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
            count += loads.pick_online("s", no_exclusions, at, random)->id == id ? 1 : 0;
        }
        return count;
    };
    require(picks("t0", now) > 0, "a sound target gets requests");
    loads.record_stall("t0");
    require(picks("t0", now) == 0, "one with a request that waits for its first byte gets none");
    loads.record_stall_end("t0");
    require(picks("t0", now) > 0, "until that one has begun or ended");
    loads.update_peer_load("p", peer_loads({{"t1", {.online = 1, .stalled = 1}}}), now);
    require(picks("t1", now) == 0, "also by the word of another daemon");
    loads.update_peer_load("p", {}, now);
    require(picks("t1", now) > 0, "until it takes it back");

    loads.record_failure("t2", target_failure::response_failed, now);
    loads.update_peer_load("p", peer_loads({{"t2", {.failures = 1}}}), now);
    loads.record_success("t2");
    require(picks("t2", now) > 0, "a few answers that break off are no reason");
    loads.update_peer_load("q", peer_loads({{"t2", {.failures = 1}}}), now);
    require(picks("t2", now) == 0, "three at all daemons together are");
    const time_point later = now + fleet_load::failure_window + milliseconds(1);
    require(loads.local_load(later).empty() && picks("t2", later) > 0, "and are forgotten in time");

    loads.record_stall("t0");
    loads.record_stall("t1");
    require(picks("t0", later) == 0 && picks("t1", later) == 0, "a quarter may be passed over");
    loads.record_stall("t2");
    require(picks("t0", later) + picks("t1", later) + picks("t2", later) > 0,
            "but when more are slow at once, all go on");
}

/// Sums that are kept as digests come in are those of the digests that count.
void check_sums() {
    property("the load at a target is what daemons heard lately told last", [] {
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
                // A list without one of the targets for a while changes no sum.
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
    require(loads.mark_leaving({stable_hash("x"), 7}), "a target's own word is news once");
    require(!loads.mark_leaving({stable_hash("x"), 7}), "and not again");
    require(loads.pick_online("s", no_exclusions, now, random)->id == "y",
            "a target that says that it leaves gets no online request");
    require(loads.pick_batch("s", no_exclusions, now, random, any_target)->id == "y",
            "and no batch item");
    x.slots = 3;
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_exclusions, now, random)->id == "y",
            "whatever its entry says then");
    loads.set_targets({target("y", "b")});
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_exclusions, now, random)->id == "y",
            "also when its entry has been away");
    require(loads.leaving() == std::vector<leaving_instance>{{stable_hash("x"), 7}},
            "the other daemons are told");
    require(!loads.pick_online("s", {"y"}, now, random), "not even when no other target is left");
    x.started_at = 8;
    loads.set_targets({x, target("y", "b")});
    require(loads.pick_online("s", no_exclusions, now, random)->id == "x",
            "a later start under the same id is another one");
    require(loads.leaving().empty(), "of which nobody is told");
    fleet_load stale = two_targets();
    stale.mark_leaving({stable_hash("late"), 5});
    fleet_target late = target("late", "a");
    late.started_at = 5;
    stale.set_targets({late});
    require(!stale.pick_online("s", no_exclusions, now, random),
            "a daemon may be told before it has the entry");
}

/// Whatever daemons stop, together they free exactly what online requests lack.
void check_preemption_total() {
    property("daemons that see the same load stop enough streams and no more", [] {
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
    check_failures();
    check_zones();
    check_batch();
    check_sums();
    check_degraded();
    check_leaving();
    check_preemption_total();
    return eelgrassdoor::test::finish();
}
