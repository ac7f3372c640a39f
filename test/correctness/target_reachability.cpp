/// \file
/// Guards against a host that goes on trying targets itself though it reaches none of them, or that
/// takes a few lost targets for a partition.
#include "routing/target_reachability.hpp"

#include "check.hpp"

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;
using routing::target_reachability;

namespace {

void check_partition() {
    target_reachability reachability;
    const time_point now{};
    require(!reachability.is_partitioned(), "a host without targets is not partitioned");
    reachability.set_target_count(9);
    require(!reachability.record_unreachable("a") && !reachability.record_unreachable("b") &&
                !reachability.record_unreachable("b"),
            "two lost targets are no partition, however often they are tried");
    require(!reachability.record_connected(), "a reached target changes nothing then");
    require(!reachability.record_unreachable("c") && !reachability.record_unreachable("d") &&
                !reachability.is_partitioned(),
            "targets lost before another one was reached do not count");
    require(reachability.record_unreachable("e") && reachability.is_partitioned(),
            "three targets in a row are a partition");
    require(!reachability.record_unreachable("f"), "a partition begins once");
    require(reachability.should_connect_directly(now), "the first request tries its target");
    require(!reachability.should_connect_directly(now), "the next one does not");
    require(!reachability.should_connect_directly(now + target_reachability::probe_interval / 2),
            "nor do those before the interval has passed");
    require(reachability.should_connect_directly(now + target_reachability::probe_interval),
            "another request tries its target after the interval");
    require(reachability.record_connected() && !reachability.is_partitioned(),
            "a reached target ends the partition");
    require(reachability.should_connect_directly(now), "then all requests connect directly");
}

void check_few_targets() {
    target_reachability reachability;
    reachability.set_target_count(2);
    reachability.record_unreachable("a");
    require(!reachability.is_partitioned(), "one of two lost targets is no partition");
    require(reachability.record_unreachable("b"), "all of two are one");
    reachability.set_target_count(0);
    require(!reachability.is_partitioned(), "without targets there is no partition");
}

} // namespace

int main() {
    check_partition();
    check_few_targets();
    return finish();
}
