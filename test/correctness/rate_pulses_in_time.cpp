/// \file
/// A customer inside its mean rate sends pulses above it: most requests have to be served in time.
#include "check.hpp"
#include "stand_in/pulse_model.hpp"

int main() {
    using namespace eelgrassdoor::test;
    const outcome after = pulse_model(true).run(20);
    require(after.in_time * 5 >= after.served * 4,
            "four of five are still in time: " + std::to_string(after.in_time) + " of " +
                std::to_string(after.served));
    return finish();
}
