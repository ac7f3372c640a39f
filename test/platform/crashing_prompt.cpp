/// \file
/// Guards against requests with one prompt segment that crash one target after the other: the fleet
/// must stop sending them, and go on serving sound requests of the same customer.
#include "base/text.hpp"
#include "platform/fixture/crash_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

net::http_request make_request(int number, bool is_fatal) {
    const std::string segment = is_fatal ? "fatal" : str_cat("sound-", number % 3);
    net::http_request request = daemon_fixture::request(str_cat("request-", number));
    // Requests with different prompts differ in their bodies.
    request.body = str_cat(R"({"prompt":")", segment, "-", number, R"("})");
    request.headers.set("Prompt-Prefix", str_cat("first:200,", segment, ":50,own-", number, ":20"));
    return request;
}

} // namespace

int main() {
    crash_fixture fixture({.crashes_before_bound = 5,
                           .make_fatal =
                               [](scripted_engine& engine) {
                                   engine.set_fatal_segment("fatal", crash_restart_delay);
                               },
                           .make_request = make_request});
    fixture.run([](const crash_outcome& outcome) {
        require(outcome.crashes <= crash_fixture::allowed_crashes,
                str_cat("requests that crash targets are kept from them, ", outcome.crashes,
                        " reached one"));
        require(2 * outcome.sound_served >= outcome.sound_sent,
                str_cat("sound requests with the same key and first segment are served, ",
                        outcome.sound_served, " of ", outcome.sound_sent, " were"));
    });
}
