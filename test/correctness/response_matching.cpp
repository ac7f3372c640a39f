/// \file
/// Only events and answers of the caller's own request are passed on.
#include "check.hpp"
#include "front/event_stream_parser.hpp"
#include "target/response_check.hpp"

namespace {

using namespace eelgrassdoor::front;
using eelgrassdoor::target::answer_belongs;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

std::string event(const std::string& id) {
    return "data: {\"id\":\"cmpl-" + id + "\"}\n\n";
}

void check_cutting() {
    property("events come out whole however the bytes are cut", [] {
        const std::string all = event("r-1") + event("r-1") + "data: [DONE]\n\n";
        event_stream stream("r-1");
        std::string out;
        std::size_t at = 0;
        while (at < all.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            stream.add(all.substr(at, size));
            at += size;
            while (const auto e = stream.next()) {
                out += *e;
            }
        }
        RC_ASSERT(out == all);
        RC_ASSERT(stream.complete());
    });
}

void check_foreign() {
    event_stream stream("r-1");
    stream.add(event("r-1") + event("r-2") + event("r-1"));
    require(stream.next().has_value(), "the own event");
    require(!stream.next() && stream.foreign(), "another request's event ends the stream");
    require(!stream.next(), "for good");
    event_stream cut("r-1");
    cut.add(event("r-1"));
    cut.next();
    require(!cut.complete(), "a stream without its final event is not complete");
    require(answer_belongs(R"({"id":"cmpl-r-1"})", "r-1"), "an own answer");
    require(!answer_belongs(R"({"id":"cmpl-r-2"})", "r-1"), "another request's answer");
    require(!answer_belongs(R"({"id":)", "r-1"), "a cut answer");
}

} // namespace

int main() {
    check_cutting();
    check_foreign();
    return eelgrassdoor::test::finish();
}
