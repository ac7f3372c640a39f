/// \file
/// Tests what is known of the request limits that targets name in their responses.
#include "check.hpp"
#include "routing/target_limits.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::require;

constexpr target_instance instance{.target = 5, .started_at = 70};
const time_point start = time_point{} + seconds(100);

time_point at(int ms) {
    return start + milliseconds(ms);
}

void check_newest_response_counts() {
    target_limits limits;
    require(!limits.record_response(instance, {}, at(0), at(10)) && !limits.limit_of(instance),
            "a target that names no limit has none");
    require(limits.record_response(instance, 2.5, at(10), at(20)) &&
                limits.limit_of(instance) == 2.5,
            "the limit that a response names is in force");
    require(!limits.record_response(instance, 2.5, at(20), at(30)), "the same limit is no change");
    require(limits.record_response(instance, 4.0, at(30), at(40)) &&
                limits.limit_of(instance) == 4.0,
            "a newer limit replaces it");
    require(limits.record_response(instance, {}, at(41), at(50)) && !limits.limit_of(instance),
            "the limit ends when a response does not name it");
}

void check_overtaking_responses() {
    target_limits limits;
    limits.record_response(instance, 2.5, at(10), at(20));
    require(!limits.record_response(instance, {}, at(15), at(25)) &&
                limits.limit_of(instance) == 2.5,
            "a response to a request from before the limit was named does not end it");
}

void check_restarted_target() {
    target_limits limits;
    const target_instance restarted{.target = instance.target, .started_at = 80};
    limits.record_response(instance, 2.5, at(10), at(20));
    require(!limits.limit_of(restarted), "a target that has started again has no limit");
    limits.record_response(restarted, 3.0, at(30), at(40));
    require(limits.limit_of(restarted) == 3.0 && !limits.limit_of(instance),
            "the limit of the later instance replaces that of the earlier one");
    limits.record_response(instance, 1.0, at(35), at(45));
    require(limits.limit_of(restarted) == 3.0,
            "a late response of the earlier instance does not change the limit");
}

} // namespace

int main() {
    check_newest_response_counts();
    check_overtaking_responses();
    check_restarted_target();
    return eelgrassdoor::test::finish();
}
