/// \file
/// Tests that cold targets get no more requests than they tolerate. The load pattern is a zone
/// whose targets return together while every daemon has more requests than the zone can take.
#include "routing/slow_start.hpp"

#include "check.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr double cold_rate = 23;
const cold_limits limits_of_s{{"s", {seconds(3), cold_rate}}};
const time_point start = time_point() + seconds(100);

fleet_target cold_target(std::optional<duration> cold_remaining) {
    return {.id = "t",
            .service = "s",
            .endpoint = "127.0.0.1:1",
            .availability_zone = "zone-0",
            .slots = 8,
            .cold_remaining = cold_remaining};
}

std::vector<sending_daemon> fleet_of(std::size_t zones, std::size_t per_zone) {
    std::vector<sending_daemon> out;
    for (std::size_t i = 0; i < zones * per_zone; ++i) {
        out.push_back({"host-" + std::to_string(i), "zone-" + std::to_string(i % zones)});
    }
    return out;
}

slow_start daemon(const std::vector<sending_daemon>& members, const std::string& host) {
    slow_start out;
    out.set_limits(limits_of_s, start - seconds(60));
    out.set_daemons(members, host);
    return out;
}

/// Sends as many requests as the limit allows, at all daemons, and returns when each was sent.
std::vector<time_point> flood(std::vector<slow_start>& daemons, const fleet_target& target,
                              duration length) {
    std::vector<time_point> sent;
    for (time_point now = start; now < start + length; now += milliseconds(7)) {
        for (slow_start& each : daemons) {
            while (each.is_cold(target, now) && each.may_send(target, now)) {
                each.record_sent(target, now);
                sent.push_back(now);
            }
        }
    }
    return sent;
}

/// The largest number of requests within one second.
std::size_t most_per_second(const std::vector<time_point>& sent) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= seconds(1)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

void check_zone_returns() {
    const fleet_target target = cold_target(seconds(3));
    for (const std::size_t per_zone : {2, 15, 41}) {
        const std::vector<sending_daemon> members = fleet_of(4, per_zone);
        std::vector<slow_start> daemons;
        for (const sending_daemon& each : members) {
            daemons.push_back(daemon(members, each.host));
            daemons.back().record_entry(target, start);
        }
        const std::vector<time_point> sent = flood(daemons, target, seconds(4));
        const std::string found = std::to_string(most_per_second(sent)) + " of " +
                                  std::to_string(sent.size()) + " requests";
        require(most_per_second(sent) <= cold_rate,
                "a cold target gets at most its cold rate in any second, got " + found);
        require(sent.size() >= 3 * cold_rate / 2,
                "a cold target gets at least half of its cold rate, got " + found);
    }
}

void check_zone_cut_off() {
    const std::vector<sending_daemon> members = fleet_of(4, 5);
    const fleet_target target = cold_target(seconds(3));
    std::size_t senders = 0;
    for (const sending_daemon& each : members) {
        slow_start one = daemon(members, each.host);
        one.record_entry(target, start);
        senders += each.availability_zone == "zone-0" && one.may_send(target, start) ? 1 : 0;
    }
    require(senders >= slow_start::max_senders / 2,
            "half of the senders are in the target's zone, but are " + std::to_string(senders));
}

void check_views_differ() {
    property("daemons that know different members exceed the limit by at most the shares of the "
             "additional senders",
             [] {
                 const fleet_target target = cold_target(seconds(3));
                 const auto all = fleet_of(4, *rc::gen::inRange<std::size_t>(1, 12));
                 std::vector<slow_start> daemons;
                 std::size_t senders = 0;
                 for (const sending_daemon& each : all) {
                     std::vector<sending_daemon> known;
                     for (const sending_daemon& other : all) {
                         const bool is_known = *rc::gen::inRange(0, 5) > 0;
                         if (is_known || other.host == each.host) {
                             known.push_back(other);
                         }
                     }
                     daemons.push_back(daemon(known, each.host));
                     daemons.back().record_entry(target, start);
                     senders += daemons.back().may_send(target, start) ? 1 : 0;
                 }
                 const auto sent = flood(daemons, target, seconds(3));
                 const double shares =
                     std::max(1.0, static_cast<double>(senders) /
                                       static_cast<double>(slow_start::max_senders));
                 RC_ASSERT(static_cast<double>(most_per_second(sent)) <=
                           cold_rate * shares + static_cast<double>(senders));
             });
}

void check_restarted_daemon() {
    const std::vector<sending_daemon> members = fleet_of(1, 1);
    const fleet_target target = cold_target(seconds(3));
    slow_start one;
    one.set_limits(limits_of_s, start);
    one.set_daemons(members, "host-0");
    one.record_entry(target, start);
    require(!one.may_send(target, start),
            "a daemon that has just started does not know what it sent before, and waits");
    require(one.may_send(target, start + milliseconds(800)), "its share fills in time");
}

void check_what_is_cold() {
    slow_start one = daemon(fleet_of(1, 1), "host-0");
    const fleet_target warm = cold_target(seconds(0));
    one.record_entry(warm, start);
    require(!one.is_cold(warm, start), "a target that says so is warm");
    one.record_unreachable("t", start + seconds(1));
    require(one.is_cold(warm, start + seconds(2)),
            "a target that could not be reached may have restarted since its last entry");
    one.record_response("t", start + seconds(4));
    require(one.is_cold(warm, start + seconds(6)) && !one.is_cold(warm, start + seconds(7)),
            "without a new entry, it is warm a cold time after its first response");
    one.record_unreachable("t", start + seconds(8));
    one.record_entry(warm, start + seconds(9));
    require(!one.is_cold(warm, start + seconds(9)), "a newer entry tells that it is warm");
    one.record_entry(cold_target(seconds(2)), start + seconds(10));
    require(one.is_cold(warm, start + seconds(11)) && !one.is_cold(warm, start + seconds(12)),
            "an entry tells how long the target is cold");
    slow_start other = daemon(fleet_of(1, 1), "host-0");
    other.record_entry(cold_target(std::nullopt), start);
    require(other.is_cold(warm, start + seconds(2)) && !other.is_cold(warm, start + seconds(3)),
            "a new target whose entry does not say is cold for the whole cold time");
    slow_start early;
    early.record_entry(cold_target(seconds(3)), start);
    early.set_limits(limits_of_s, start + seconds(1));
    require(early.is_cold(warm, start + seconds(2)),
            "an entry that was read before the configuration counts");
    slow_start unlimited;
    unlimited.record_entry(cold_target(seconds(3)), start);
    require(!unlimited.is_cold(warm, start), "a service without a cold rate has no limit");
}

} // namespace

int main() {
    check_zone_returns();
    check_zone_cut_off();
    check_views_differ();
    check_restarted_daemon();
    check_what_is_cold();
    return eelgrassdoor::test::finish();
}
