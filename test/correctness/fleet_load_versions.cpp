/// \file
/// Guards against resuming a text or stream at another software version than the one that began it.
#include "base/digest.hpp"
#include "check.hpp"
#include "correctness/fixture/fleet_load_fixture.hpp"
#include "routing/fleet_load.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using namespace eelgrassdoor::test;

target_constraints of_version(const std::string& version) {
    return {.excluded = {}, .version = version};
}

/// The ids of the targets that are picked within \p constraints, and "none".
std::set<std::string> picked_ids(fleet_load& loads, const target_constraints& constraints,
                                 time_point at, random_source& random) {
    std::set<std::string> ids;
    for (int i = 0; i < 200; ++i) {
        const auto online = loads.pick_online("s", constraints, at, random);
        const auto batch = loads.pick_batch("s", constraints, at, random, any_target);
        ids.insert(online ? online->id : "none");
        ids.insert(batch ? batch->id : "none");
    }
    return ids;
}

void check_outdated_entry() {
    const time_point now{};
    random_source random(1);
    fleet_load loads({.local_zone = "a"});
    fleet_target restarted = target("x", "a", 3);
    restarted.started_at = 1;
    loads.set_targets({restarted, target("y", "a", 3)});
    const auto picks = [&](const target_constraints& constraints) {
        return picked_ids(loads, constraints, now, random);
    };
    using id_set = std::set<std::string>;
    require(!loads.mark_outdated("x", 2) && !loads.mark_outdated("z", 1),
            "only an entry that is listed can be outdated");
    require(picks(no_constraints) == id_set{"x", "y"}, "both targets are picked");
    require(loads.mark_outdated("x", 1) && !loads.mark_outdated("x", 1),
            "an entry becomes outdated once");
    require(picks(no_constraints) == id_set{"y"}, "a target with an outdated entry is avoided");
    require(picks({.excluded = {"y"}, .version = {}}) == id_set{"x"},
            "a target with an outdated entry is picked when there is no other");
    require(picks({.excluded = {"y"}, .version = restarted.version}) == id_set{"none"},
            "it is not picked for a version that its process may not have");
    const auto picked = loads.pick_online("s", {.excluded = {"y"}, .version = {}}, now, random);
    require(picked && picked->version == unknown_version, "its version is unknown");
    for (int i = 0; i < 100; ++i) {
        loads.record_online_sent("y");
    }
    require(picks(no_constraints) == id_set{"x"}, "it is picked when the other target is full");
    for (int i = 0; i < 100; ++i) {
        loads.record_online_ended("y");
    }
    restarted.cold_remaining = seconds(0);
    loads.set_targets({restarted, target("y", "a", 3)});
    require(picks(no_constraints) == id_set{"y"}, "an update of the entry is no new entry");
    restarted.started_at = 2;
    loads.set_targets({restarted, target("y", "a", 3)});
    require(picks(no_constraints) == id_set{"x", "y"},
            "a target is picked again when its entry names the new process");
}

void check_versions() {
    const time_point now{};
    random_source random(1);
    fleet_load loads({.local_zone = "a"});
    const auto versioned = [](const std::string& id, const std::string& version) {
        fleet_target out = target(id, "a", 3);
        out.version = version;
        return out;
    };
    const auto picks = [&](const target_constraints& constraints, time_point at) {
        return picked_ids(loads, constraints, at, random);
    };
    using id_set = std::set<std::string>;
    loads.set_targets({versioned("x1", "v1"), versioned("x2", "v1"), versioned("y", "v2"),
                       versioned("unnamed", "")});
    require(picks(no_constraints, now) == id_set{"x1", "x2", "y", "unnamed"},
            "without a version, targets of all versions are picked");
    require(picks(of_version("v1"), now) == id_set{"x1", "x2"},
            "only targets of the demanded version are picked");
    require(picks(of_version("v2"), now) == id_set{"y"},
            "the only target of the demanded version is picked");
    require(picks(of_version(""), now) == id_set{"unnamed"},
            "the empty version is a version like any other");
    require(picks(of_version("v3"), now) == id_set{"none"},
            "no target is picked when none has the demanded version");
    require(picks({.excluded = {"x1"}, .version = "v1"}, now) == id_set{"x2"},
            "an excluded target of the demanded version is not picked");
    using version_set = std::set<std::string, std::less<>>;
    require(loads.versions_of("s") == version_set{"", "v1", "v2"},
            "the versions of a service are those of its targets");
    require(loads.versions_of("other").empty() && !loads.serves("other", "v1"),
            "a service without targets has no version");
    require(loads.serves("s", "v1") && loads.serves("s", "") && !loads.serves("s", "v3"),
            "a service serves the versions of its targets only");

    loads.record_failure("y", target_failure::unreachable, now);
    require(picks(of_version("v2"), now) == id_set{"y"},
            "a target in backoff is picked when no other has the demanded version");
    loads.record_stall("x1");
    require(picks(of_version("v1"), now) == id_set{"x2"},
            "a degraded target is avoided while another of its version is healthy");
    for (int i = 0; i < 3; ++i) {
        loads.record_batch_sent("unnamed");
    }
    require(!loads.pick_batch("s", of_version(""), now, random, any_target),
            "no batch item starts at another version when the demanded one is full");
    loads.mark_leaving({stable_hash("y"), 0});
    require(picks(of_version("v2"), now) == id_set{"none"},
            "a leaving target is not picked for its version");
    require(loads.versions_of("s") == version_set{"", "v1"} && !loads.serves("s", "v2"),
            "the version of a leaving target does not count");
    loads.set_targets({versioned("x1", "v2"), versioned("x2", "v1")});
    require(loads.serves("s", "v2") && picks(of_version("v2"), now) == id_set{"x1"},
            "a changed version of a listed target takes effect");

    std::vector<fleet_target> many;
    for (int i = 0; i < 16; ++i) {
        many.push_back(versioned("t" + std::to_string(i), i < 4 ? "v1" : "v2"));
    }
    loads.set_targets(many);
    loads.record_stall("t0");
    loads.record_stall("t1");
    require(picks(of_version("v1"), now) == id_set{"t0", "t1", "t2", "t3"},
            "targets of other versions do not count in the share that is avoided as degraded");

    property("a picked target has the demanded version", [] {
        fleet_load fleet({.local_zone = "a"});
        random_source any(*rc::gen::inRange<std::uint64_t>(1, 1000));
        const std::vector<std::string> versions{"", "v1", "v2"};
        std::vector<fleet_target> targets;
        const int count = *rc::gen::inRange(0, 8);
        for (int i = 0; i < count; ++i) {
            fleet_target each = target("t" + std::to_string(i), *rc::gen::element("a", "b"));
            each.version = *rc::gen::elementOf(versions);
            each.leaving = *rc::gen::inRange(0, 4) == 0;
            targets.push_back(each);
        }
        fleet.set_targets(targets);
        time_point at{};
        for (int step = 0; step < 30; ++step) {
            at += milliseconds(*rc::gen::inRange(0, 300));
            const std::string demanded = *rc::gen::elementOf(versions);
            const bool online = *rc::gen::arbitrary<bool>();
            const auto picked =
                online ? fleet.pick_online("s", of_version(demanded), at, any)
                       : fleet.pick_batch("s", of_version(demanded), at, any, any_target);
            RC_ASSERT(!picked || picked->version == demanded);
            RC_ASSERT(!picked || fleet.serves("s", demanded));
            RC_ASSERT(fleet.serves("s", demanded) == fleet.versions_of("s").contains(demanded));
            if (picked) {
                online ? fleet.record_online_sent(picked->id) : fleet.record_batch_sent(picked->id);
                if (*rc::gen::inRange(0, 3) == 0) {
                    fleet.record_failure(picked->id, target_failure::unreachable, at);
                }
            }
        }
    });
}

} // namespace

int main() {
    check_versions();
    check_outdated_entry();
    return eelgrassdoor::test::finish();
}
