/// \file
/// Tests what is known of the request limits that targets name in their responses.
#include "routing/target_limits.hpp"

#include "check.hpp"
#include "fleet/message.hpp"

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

void check_restart_with_earlier_clock() {
    target_limits limits;
    const target_instance restarted{.target = instance.target, .started_at = 60};
    limits.set_listed({{instance.target, instance.started_at}});
    limits.record_response(instance, 2.5, at(10), at(20));
    limits.set_listed({{restarted.target, restarted.started_at}});
    limits.record_response(restarted, 3.0, at(30), at(40));
    require(limits.limit_of(restarted) == 3.0,
            "the limit of a target that restarted with an earlier clock is recorded");
    require(limits.merge(std::vector<target_limit_report>{{.instance = instance,
                                                           .requests_per_second = 1.0,
                                                           .named_age = {},
                                                           .ended_age = {}}},
                         at(50))
                    .empty() &&
                limits.limit_of(restarted) == 3.0,
            "late reports on the earlier instance do not change the limit");
}

void check_other_daemons_learn() {
    target_limits observer;
    target_limits other;
    observer.record_response(instance, 2.5, at(0), at(20));
    require(other.merge(observer.reports(at(40)), at(45)).size() == 1 &&
                other.limit_of(instance) == 2.5,
            "a daemon without a response from the target learns its limit");
    require(other.merge(observer.reports(at(60)), at(65)).empty(),
            "a repeated report is no change");
    other.record_response(instance, 2.5, at(900), at(920));
    observer.record_response(instance, {}, at(1500), at(1520));
    require(other.merge(observer.reports(at(1600)), at(1605)).size() == 1 &&
                !other.limit_of(instance),
            "the end of a limit reaches the other daemons");
    target_limits late;
    late.merge(other.reports(at(1700)), at(1705));
    require(!late.limit_of(instance), "a daemon that starts later does not take an ended limit");
    require(other.reports(at(20'000)).empty(), "an ended limit is not reported for long");
}

void check_reports_in_turn() {
    target_limits limits;
    constexpr std::uint64_t targets = 150;
    for (std::uint64_t i = 1; i <= targets; ++i) {
        limits.record_response({.target = i, .started_at = 1}, 1.0, at(0), at(10));
    }
    target_limits other;
    for (std::size_t i = 0; i <= targets / target_limits::max_reports; ++i) {
        const std::vector<target_limit_report> reports = limits.reports(at(20));
        require(reports.size() <= target_limits::max_reports, "the number of reports is bounded");
        other.merge(reports, at(25));
    }
    for (std::uint64_t i = 1; i <= targets; ++i) {
        require(other.limit_of({.target = i, .started_at = 1}) == 1.0,
                "all limits are reported in turn");
    }
}

void check_builds_side_by_side() {
    target_limits limits;
    limits.record_response(instance, 2.5, at(0), at(20));
    fleet::load_digest digest;
    digest.host = "host";
    const std::string plain = peer::encode(digest);
    const std::string bytes = plain + peer::encode(fleet::segment_reports{}) +
                              peer::encode(fleet::to_entries(limits.reports(at(40))));
    std::string_view rest = bytes;
    require(peer::decode_front<fleet::load_digest>(rest) &&
                peer::decode<fleet::segment_reports>(rest)->reports.empty(),
            "a build that does not know of limits reads what precedes them");
    require(peer::decode_front<fleet::segment_reports>(rest).has_value(),
            "reports on segments precede the limits");
    const auto received = fleet::to_limit_reports(*peer::decode<fleet::target_limit_entries>(rest));
    require(received.size() == 1 && received[0].instance == instance &&
                received[0].requests_per_second == 2.5 &&
                received[0].named_age == milliseconds(20) && !received[0].ended_age,
            "limits arrive as they were sent");
}

void check_denials() {
    target_limits limits;
    limits.record_response(instance, 2.5, at(0), at(10));
    limits.record_denied(instance, work_kind::batch, at(300));
    require(limits.is_denied(instance, work_kind::batch, at(200)) &&
                !limits.is_denied(instance, work_kind::online, at(200)) &&
                !limits.is_denied(instance, work_kind::batch, at(300)),
            "a target without a permit for one kind of work is denied to it for a while");
    limits.record_response(instance, {}, at(20), at(30));
    require(!limits.is_denied(instance, work_kind::batch, at(200)),
            "a target whose limit has ended is not denied");
}

} // namespace

int main() {
    check_newest_response_counts();
    check_overtaking_responses();
    check_restarted_target();
    check_restart_with_earlier_clock();
    check_other_daemons_learn();
    check_reports_in_turn();
    check_builds_side_by_side();
    check_denials();
    return eelgrassdoor::test::finish();
}
