/// \file
/// Guards against streams and texts that go on, through a relay, at a target which has started
/// again with another software version, under its id and at its address, before its entry has
/// changed.
#include "platform/fixture/restart_checks.hpp"

int main() {
    eelgrassdoor::test::restart_checks(true).run();
}
