/// \file
/// Guards against one request that crashes target after target because it comes again, at any
/// daemon, with the same path, caller and body: the fleet must stop sending it, and go on serving
/// sound requests that share its segments.
#include "base/text.hpp"
#include "platform/fixture/crash_fixture.hpp"

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

net::http_request make_request(int number, bool is_fatal) {
    net::http_request request = daemon_fixture::request(str_cat("request-", number));
    request.body = is_fatal ? "fatal" : "sound";
    request.headers.set("Prompt-Prefix", "first:200,second:50,own:20");
    return request;
}

} // namespace

int main() {
    crash_fixture fixture(
        {.crashes_before_bound = 3,
         .make_fatal =
             [](scripted_engine& engine) { engine.set_fatal_body("fatal", crash_restart_delay); },
         .make_request = make_request});
    fixture.run([](const crash_outcome& outcome) {
        require(outcome.crashes <= crash_fixture::allowed_crashes,
                str_cat("a request that crashes targets is kept from them, it crashed ",
                        outcome.crashes, " after the bound"));
        require(outcome.sound_served == outcome.sound_sent,
                str_cat("sound requests with the same segments are served, ", outcome.sound_served,
                        " of ", outcome.sound_sent, " were"));
    });
}
