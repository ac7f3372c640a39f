/// \file
/// Guards against requests that are sent although targets crash on a segment of their prompt,
/// because they were given a target before that was known.
#include "platform/fixture/crash_in_flight_checks.hpp"

int main() {
    eelgrassdoor::test::crash_in_flight_checks checks(false);
    checks.run();
}
