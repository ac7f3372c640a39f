/// \file
/// Tests that most requests of a customer that keeps its rate on average, but sends pulses above
/// it, are served in time.
#include "check.hpp"
#include "stand_in/pulse_model.hpp"

int main() {
    using namespace eelgrassdoor::test;
    const outcome after = pulse_model(true).run(20);
    require(after.in_time * 5 >= after.served * 4,
            "at least four of five served requests are in time, but were " +
                std::to_string(after.in_time) + " of " + std::to_string(after.served));
    return finish();
}
