/// \file
/// Guards against bodies whose end or size is measured wrongly, and against the wrong request
/// yielding when memory or connections are short.
#include "http/request_intake.hpp"

#include "check.hpp"
#include "http/body_meter.hpp"

#include <array>
#include <cstdio>
#include <string>

namespace {

using namespace eelgrassdoor;
using http::body_meter;
using http::request_intake;
using test::property;
using test::require;

std::string chunk(const std::string& content) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx;a=b\r\n", content.size());
    return size.data() + content + "\r\n";
}

body_meter::state state_after(const std::string& text) {
    body_meter meter = body_meter::chunked();
    meter.feed(text);
    return meter.current();
}

void check_framing() {
    property("a chunked body ends with its last line, in whatever pieces it arrives", [] {
        std::string wire;
        std::uint64_t content = 0;
        for (const auto size : *rc::gen::container<std::vector<std::uint8_t>>(
                 rc::gen::inRange<std::uint8_t>(1, 200))) {
            wire += chunk(std::string(size, '0'));
            content += size;
        }
        wire += "0\r\n\r\n";
        body_meter meter = body_meter::chunked();
        for (std::size_t at = 0; at < wire.size();) {
            RC_ASSERT(meter.current() == body_meter::state::reading);
            const auto size = *rc::gen::inRange<std::size_t>(1, 64);
            meter.feed(std::string_view(wire).substr(at, size));
            at += size;
        }
        RC_ASSERT(meter.current() == body_meter::state::complete);
        RC_ASSERT(meter.content_bytes() == content);
    });
    const auto malformed = body_meter::state::malformed;
    require(state_after("x\r\n") == malformed, "a size that is no number is malformed");
    require(state_after("0x5\r\n") == malformed, "a size with a prefix is malformed");
    require(state_after(std::string(17, 'f')) == malformed, "a size beyond 64 bits is malformed");
    require(state_after("5;" + std::string(2000, 'a')) == malformed, "extensions are bounded");
    require(state_after("0\r\n" + std::string(2000, 'a')) == malformed, "trailers are bounded");
    require(body_meter::of_length(0).current() == body_meter::state::complete,
            "an empty body is complete at once");
}

void check_memory() {
    manual_clock clock;
    request_intake intake(100, clock.reader());
    int yields = 0;
    const auto yield = [&yields] { ++yields; };
    request_intake::entry finished(intake, nullptr, yield);
    require(finished.add(40), "a body within the budget is accepted");
    finished.complete();
    {
        request_intake::entry longest(intake, nullptr, yield);
        request_intake::entry later(intake, nullptr, yield);
        require(longest.add(30) && later.add(30), "bodies fill the budget");
        require(!longest.add(1) && yields == 1, "the longest arriving of the incomplete yields");
        require(!later.has_yielded() && !finished.has_yielded(), "no other yields");
    }
    request_intake::entry next(intake, nullptr, yield);
    require(next.add(60), "what yielded and ended gives its memory back");
    require(!next.add(1) && !finished.has_yielded(), "a complete request never yields");
}

void check_connections() {
    manual_clock clock;
    request_intake intake(100, clock.reader());
    const auto yield = [] {};
    const int here = 0;
    const int elsewhere = 0;
    request_intake::entry finished(intake, &here, yield);
    finished.complete();
    request_intake::entry other(intake, &elsewhere, yield);
    request_intake::entry longest(intake, &here, yield);
    clock.advance(seconds(5));
    request_intake::entry fresh(intake, &here, yield);
    intake.free_connections(&here, 3, seconds(1));
    require(longest.has_yielded(), "a request that has been arriving long yields its connection");
    require(!finished.has_yielded(), "a complete request keeps its connection");
    require(!other.has_yielded(), "a request of another server keeps its connection");
    require(!fresh.has_yielded(), "a request that has just begun keeps its connection");
}

} // namespace

int main() {
    check_framing();
    check_memory();
    check_connections();
    return test::finish();
}
