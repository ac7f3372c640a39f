/// \file
/// Guards against messages that together take more memory than their budget, and against memory
/// that is not given back.
#include "net/memory_budget.hpp"

#include "check.hpp"

#include <utility>
#include <vector>

namespace {

using eelgrassdoor::net::memory_budget;
using eelgrassdoor::net::memory_reservation;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

constexpr std::size_t free_bytes = memory_reservation::free_bytes;

void check_limit() {
    memory_budget budget(1000);
    memory_reservation first(&budget);
    memory_reservation second(&budget);
    require(first.resize(free_bytes + 900), "a message within the budget is accepted");
    require(!second.resize(free_bytes + 101), "a message beyond what is left is rejected");
    require(second.resize(free_bytes + 100), "a message takes what is left");
    require(memory_reservation(&budget).resize(free_bytes),
            "a small message is accepted although the budget is used up");
    require(memory_reservation().resize(1UL << 40U), "without a budget nothing is limited");
}

void check_return() {
    property("all memory is given back", [] {
        memory_budget budget(5000);
        {
            std::vector<memory_reservation> messages;
            for (int i = 0; i < 8; ++i) {
                messages.emplace_back(&budget);
            }
            for (int step = 0; step < 50; ++step) {
                const auto at = *rc::gen::inRange<std::size_t>(0, messages.size());
                const auto from = *rc::gen::inRange<std::size_t>(0, messages.size());
                if (*rc::gen::inRange(0, 4) == 0) {
                    memory_reservation moved = std::move(messages[from]);
                    messages[at] = std::move(moved);
                } else {
                    (void)messages[at].resize(free_bytes + *rc::gen::inRange<std::size_t>(0, 3000));
                }
                RC_ASSERT(budget.left() <= 5000U);
            }
        }
        RC_ASSERT(budget.left() == 5000U);
    });
}

} // namespace

int main() {
    check_limit();
    check_return();
    return eelgrassdoor::test::finish();
}
