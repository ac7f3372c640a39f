/// \file
/// Guards against a host that goes on trying targets itself though it reaches none of them, or that
/// takes a few lost targets for a partition.
#include "routing/target_reachability.hpp"

#include "check.hpp"

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using routing::target_reachability;

namespace {

constexpr duration interval = target_reachability::probe_interval;

void check_partition() {
    target_reachability reachability;
    time_point now{};
    require(!reachability.is_partitioned(), "a host without targets is not partitioned");
    reachability.set_target_count(9);
    reachability.record_response(now);
    now += target_reachability::min_silence;
    require(!reachability.record_no_response("a", now) &&
                !reachability.record_no_response("b", now) &&
                !reachability.record_no_response("b", now),
            "two lost targets are no partition, however often they are tried");
    require(!reachability.record_response(now), "a response changes nothing then");
    require(!reachability.record_no_response("c", now) &&
                !reachability.record_no_response("d", now) &&
                !reachability.record_no_response("e", now) && !reachability.is_partitioned(),
            "targets that are lost right after a response are no partition yet");
    now += target_reachability::min_silence;
    require(reachability.record_no_response("f", now) && reachability.is_partitioned(),
            "several lost targets and no response for a while are a partition");
    require(!reachability.record_no_response("g", now), "a partition begins once");
    require(!reachability.try_begin_direct_attempt(true, now),
            "right after the begin no request is sent directly");
    require(!reachability.try_begin_direct_attempt(true, now + interval / 2),
            "nor are those before the interval has passed");
    require(!reachability.try_begin_direct_attempt(false, now + interval),
            "one that must not be sent again is not risked so soon");
    require(reachability.try_begin_direct_attempt(true, now + interval),
            "one that can be sent again is sent directly after the interval");
    require(!reachability.try_begin_direct_attempt(true, now + interval), "one at a time");
    require(reachability.try_begin_direct_attempt(
                false, now + interval + target_reachability::unrepeatable_probe_interval),
            "if there are no others, one that must not be sent again is risked");
    require(reachability.record_response(now) && !reachability.is_partitioned(),
            "a response ends the partition");
    require(reachability.try_begin_direct_attempt(false, now),
            "then all requests are sent directly");
}

void check_pending_attempt() {
    target_reachability reachability;
    reachability.set_target_count(1);
    time_point now{};
    require(reachability.record_no_response("a", now), "the only target is a partition");
    require(!reachability.try_begin_direct_attempt(true, now), "the partition has just begun");
    now += interval;
    require(reachability.try_begin_direct_attempt(true, now), "a request is sent directly");
    require(!reachability.try_begin_direct_attempt(true, now + 2 * interval),
            "no other one is while it has no answer");
    require(reachability.try_begin_direct_attempt(true, now + target_reachability::max_probe_time),
            "but it does not keep others from it for long");
    now += target_reachability::max_probe_time;
    reachability.end_direct_attempt();
    require(!reachability.try_begin_direct_attempt(true, now + interval / 2),
            "after its end the interval still counts");
    require(reachability.try_begin_direct_attempt(true, now + interval),
            "after the interval the next one is sent directly");
}

void check_few_targets() {
    target_reachability reachability;
    const time_point now{};
    require(!reachability.record_no_response("a", now), "without targets there is no partition");
    reachability.set_target_count(2);
    require(reachability.record_no_response("b", now), "all of two targets are a partition");
}

} // namespace

int main() {
    check_partition();
    check_pending_attempt();
    check_few_targets();
    return finish();
}
