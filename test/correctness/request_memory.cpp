/// \file
/// Guards against requests that together hold more than their memory, against complete requests
/// that give way, and against a single request that is kept out.
#include "net/request_memory.hpp"

#include "check.hpp"

#include <memory>
#include <vector>

namespace {

using eelgrassdoor::milliseconds;
using eelgrassdoor::time_point;
using eelgrassdoor::net::request_claim;
using eelgrassdoor::net::request_memory;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::size_t free_bytes = request_memory::free_bytes;
constexpr std::size_t large = 10 * free_bytes;
/// Room for two large requests.
constexpr std::size_t limit = 2 * large;

/// A request that began \p age before the others' common time, and whether it gave way.
struct test_request {
    test_request(request_memory& memory, int age)
        : claim(&memory, time_point() - milliseconds(age), [this] { ++yields; }) {}

    int yields = 0;
    request_claim claim;
};

void check_order() {
    request_memory memory(limit);
    test_request young(memory, 1);
    test_request old(memory, 2);
    test_request newcomer(memory, 0);
    require(young.claim.resize(large) && old.claim.resize(large), "two large requests fit");
    require(newcomer.claim.resize(free_bytes), "a small request needs no room");
    require(old.yields == 0 && young.yields == 0, "nothing gives way while no room is needed");
    require(newcomer.claim.resize(large), "a newcomer gets the room of another one");
    require(old.yields == 1 && young.yields == 0, "the request that began first gives way");
    require(!old.claim.resize(1) && old.claim.has_yielded(), "it gets no memory any more");
    require(memory.reserved() == limit && memory.yielded() == 1,
            "its memory is given back at once");
}

void check_complete() {
    request_memory memory(limit);
    test_request first(memory, 2);
    test_request second(memory, 1);
    test_request newcomer(memory, 0);
    require(first.claim.complete(large) && second.claim.complete(large), "two requests complete");
    require(!newcomer.claim.resize(large), "a newcomer is refused when all others are complete");
    require(first.yields + second.yields == 0, "complete requests never give way");
    require(memory.refused() == 1 && newcomer.yields == 0, "a refusal is no yield");
    require(newcomer.claim.complete(free_bytes), "a small request is served all the same");
}

void check_alone() {
    request_memory memory(limit);
    test_request small(memory, 1);
    test_request alone(memory, 0);
    require(small.claim.complete(free_bytes), "a small request completes");
    require(alone.claim.resize(3 * limit), "a request beside small ones gets what it needs");
    test_request next(memory, 0);
    require(next.claim.resize(large) && alone.yields == 1, "it gives way to the next one");
    require(request_claim(nullptr, time_point(), [] {}).resize(1UL << 40U),
            "without a memory nothing is limited");
}

void check_return() {
    property("memory stays within its limit and is given back", [] {
        request_memory memory(limit);
        {
            std::vector<std::unique_ptr<test_request>> requests;
            for (int step = 0; step < 60; ++step) {
                const int what = *rc::gen::inRange(0, 4);
                if (what == 0 || requests.empty()) {
                    requests.push_back(
                        std::make_unique<test_request>(memory, *rc::gen::inRange(0, 100)));
                    continue;
                }
                const auto at = *rc::gen::inRange<std::size_t>(0, requests.size());
                const auto bytes = *rc::gen::inRange<std::size_t>(0, limit + 1);
                if (what == 1) {
                    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(at));
                } else if (what == 2) {
                    (void)requests[at]->claim.resize(bytes);
                } else {
                    (void)requests[at]->claim.complete(bytes);
                }
                for (const auto& each : requests) {
                    RC_ASSERT(each->yields <= 1);
                }
                RC_ASSERT(memory.reserved() <= limit + requests.size() * free_bytes);
            }
        }
        RC_ASSERT(memory.reserved() == 0U);
    });
}

} // namespace

int main() {
    check_order();
    check_complete();
    check_alone();
    check_return();
    return eelgrassdoor::test::finish();
}
