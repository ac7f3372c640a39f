/// \file
/// Checks that events and responses that belong to another request are not forwarded.
#include "check.hpp"
#include "front/event_stream_parser.hpp"
#include "target/response_check.hpp"

namespace {

using namespace eelgrassdoor::front;
using eelgrassdoor::target::response_matches_attempt;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

std::string event(const std::string& id) {
    return "data: {\"id\":\"cmpl-" + id + "\"}\n\n";
}

void check_split_input() {
    property("events are reassembled from chunks of any size", [] {
        const std::string all = event("r-1") + event("r-1") + "data: [DONE]\n\n";
        event_stream_parser stream("r-1");
        std::string out;
        std::size_t at = 0;
        while (at < all.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            stream.append(all.substr(at, size));
            at += size;
            while (const auto e = stream.next()) {
                out += *e;
            }
        }
        RC_ASSERT(out == all);
        RC_ASSERT(stream.complete());
    });
}

void check_request_ids() {
    event_stream_parser stream("r-1");
    stream.append(event("r-1") + event("r-2") + event("r-1"));
    require(stream.next().has_value(), "an event with the id of the request is returned");
    require(!stream.next() && stream.has_invalid_event(),
            "an event with another id is withheld and reported as invalid");
    require(!stream.next(), "events after an invalid one are withheld");
    event_stream_parser truncated("r-1");
    truncated.append(event("r-1"));
    truncated.next();
    require(!truncated.complete(), "a stream without the [DONE] event is not complete");
    require(response_matches_attempt(R"({"id":"cmpl-r-1"})", "r-1"),
            "a response whose id ends with the attempt id matches");
    require(!response_matches_attempt(R"({"id":"cmpl-r-2"})", "r-1"),
            "a response with another id does not match");
    require(!response_matches_attempt(R"({"id":)", "r-1"), "a truncated response does not match");
}

} // namespace

int main() {
    check_split_input();
    check_request_ids();
    return eelgrassdoor::test::finish();
}
