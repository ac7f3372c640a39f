/// \file
/// Guards against the same requests being sent by a daemon that relays them.
#include "platform/fixture/crash_in_flight_checks.hpp"

int main() {
    eelgrassdoor::test::crash_in_flight_checks checks(true);
    checks.run();
}
