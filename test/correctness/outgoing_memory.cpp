/// \file
/// Guards against responses that together hold more than their memory because their clients do not
/// read them, and against the wrong one giving way.
#include "net/outgoing_memory.hpp"

#include "check.hpp"

#include <memory>
#include <vector>

namespace {

using namespace eelgrassdoor;
using net::outgoing_claim;
using net::outgoing_memory;
using test::property;
using test::require;

constexpr std::size_t free_bytes = outgoing_memory::free_bytes;
constexpr std::size_t large = 10 * free_bytes;
/// Room for two large responses.
constexpr std::size_t limit = 2 * large;

/// A response, how much of it has been read, and whether it gave way.
struct test_response {
    explicit test_response(outgoing_memory* memory, std::string id = "")
        : claim(memory, {.taken_bytes = [this] { return taken; }, .yield = [this] { ++yields; }}) {
        claim.label.id = std::move(id);
    }

    std::size_t taken = 0;
    int yields = 0;
    outgoing_claim claim;
};

struct fixture {
    manual_clock clock;
    outgoing_memory memory{limit, clock.reader()};
};

void check_order() {
    fixture f;
    std::vector<net::yielded_response> log;
    f.memory.on_yield = [&](const net::yielded_response& each) { log.push_back(each); };
    test_response patient(&f.memory, "patient");
    test_response idle(&f.memory, "idle");
    patient.claim.begin_sending(large);
    f.clock.advance(seconds(2));
    idle.claim.begin_sending(large);
    f.clock.advance(seconds(2));
    patient.taken = large / 4;
    idle.taken = 100;
    test_response newcomer(&f.memory, "newcomer");
    newcomer.claim.begin_sending(free_bytes);
    require(idle.yields == 0, "a small response needs no room");
    newcomer.claim.end_sending();
    newcomer.claim.begin_sending(large);
    require(idle.yields == 1 && patient.yields == 0,
            "the response that is read least gives way, not the oldest one");
    require(log.size() == 1 && log[0].label.id == "idle" && log[0].unread_for == seconds(2) &&
                log[0].held_bytes == large && log[0].taken_bytes == 100,
            "it is reported with its id, for how long it was unread, and its bytes");
    test_response next(&f.memory, "next");
    next.claim.begin_sending(large);
    require(newcomer.yields == 1 && patient.yields == 0,
            "a client that reads all the time keeps its response beside newcomers");
    require(f.memory.reserved() == limit && f.memory.yielded() == 2, "memory stays within limits");
    idle.claim.begin_sending(large);
    require(f.memory.reserved() == limit && idle.claim.has_yielded(),
            "a response that gave way gets no memory any more");
}

void check_reservations() {
    fixture f;
    test_response sent(&f.memory);
    test_response first(&f.memory);
    test_response second(&f.memory);
    test_response third(&f.memory);
    sent.claim.begin_sending(large);
    require(first.claim.reserve(large) && sent.yields == 0, "what fits is reserved");
    require(second.claim.reserve(large) && sent.yields == 1,
            "a response that is sent gives way to one that is made");
    require(!third.claim.reserve(large) && f.memory.refused() == 1,
            "a response that is not made yet never gives way");
    require(third.claim.reserve(free_bytes), "a small one needs no room");
    first.claim.begin_sending(large);
    require(third.claim.reserve(large) && first.yields == 1, "it gives way once it is sent");
}

void check_alone() {
    fixture f;
    test_response small(&f.memory);
    test_response alone(&f.memory);
    small.claim.begin_sending(free_bytes);
    require(alone.claim.reserve(3 * limit), "a response beside small ones gets what it needs");
    test_response unlimited(nullptr);
    require(unlimited.claim.reserve(1UL << 40U) && unlimited.claim.expect(1, 1000) == 1000,
            "without a memory nothing is limited");
}

void check_sizes() {
    fixture f;
    constexpr std::size_t min = 100;
    constexpr std::size_t max = limit / 20;
    test_response first(&f.memory);
    require(first.claim.expect(min, max) == max, "a single response may be as large as it can be");
    std::vector<std::unique_ptr<test_response>> others;
    std::size_t sum = max;
    std::size_t last = max;
    for (int i = 0; i < 200; ++i) {
        others.push_back(std::make_unique<test_response>(&f.memory));
        const std::size_t size = others.back()->claim.expect(min, max);
        require(size <= last && size >= min, "each further response is no larger");
        last = size;
        sum += size;
    }
    require(last == min && sum <= limit + 200 * min, "all that are expected have room");
    others.clear();
    test_response later(&f.memory);
    require(later.claim.expect(min, max) == max, "what is not expected any more leaves its room");
}

void check_return() {
    property("memory stays within its limit and is given back", [] {
        fixture f;
        {
            std::vector<std::unique_ptr<test_response>> responses;
            std::size_t largest = 0;
            for (int step = 0; step < 60; ++step) {
                const int what = *rc::gen::inRange(0, 6);
                if (what == 0 || responses.empty()) {
                    responses.push_back(std::make_unique<test_response>(&f.memory));
                    continue;
                }
                const auto at = *rc::gen::inRange<std::size_t>(0, responses.size());
                const auto bytes = *rc::gen::inRange<std::size_t>(0, limit + 1);
                test_response& each = *responses[at];
                each.taken += bytes / 2;
                f.clock.advance(milliseconds(100));
                if (what == 1) {
                    responses.erase(responses.begin() + static_cast<std::ptrdiff_t>(at));
                } else if (what == 2) {
                    each.claim.end_sending();
                    (void)each.claim.reserve(bytes);
                } else if (what == 3) {
                    (void)each.claim.expect(bytes / 2, bytes);
                } else {
                    each.claim.end_sending();
                    each.claim.begin_sending(bytes);
                    largest = std::max(largest, bytes);
                }
                for (const auto& response : responses) {
                    RC_ASSERT(response->yields <= 1);
                }
                // Besides what is reserved, a response that exists is always sent.
                RC_ASSERT(f.memory.reserved() <= limit + largest + responses.size() * free_bytes);
            }
        }
        RC_ASSERT(f.memory.reserved() == 0U);
        test_response last(&f.memory);
        RC_ASSERT(last.claim.expect(1, limit / 16) == limit / 16);
    });
}

} // namespace

int main() {
    check_order();
    check_reservations();
    check_alone();
    check_sizes();
    check_return();
    return test::finish();
}
