/// \file
/// Tests which targets may be picked, and how customers share capacity when targets are full.
#include "check.hpp"
#include "routing/fair_queue.hpp"
#include "routing/retry_budget.hpp"
#include "routing/target_view.hpp"

#include <map>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

target_info info(const std::string& name, const std::string& zone, bool leaving = false) {
    return {name, "127.0.0.1:1", zone, leaving, {"m"}};
}

/// Load at which a target with four slots is full: its slots and half as many waiting requests.
constexpr std::uint32_t full = 6;

load_report report(std::uint32_t running, time_point at) {
    return {running, 0, 4, 0, at};
}

void check_pick() {
    property("a picked target serves the model and is not leaving, excluded or full", [] {
        manual_clock clock;
        random_source random(1);
        target_view view("z0");
        std::vector<target_info> targets;
        const int count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
            targets.push_back(
                info(std::to_string(i), "z" + std::to_string(i % 3), *rc::gen::inRange(0, 4) == 0));
        }
        view.set_targets(targets);
        for (const target_info& t : targets) {
            view.record_report(t.name, report(*rc::gen::inRange(0U, 9U), clock.now()));
        }
        pick_request request{"m", *rc::gen::arbitrary<std::uint64_t>(), {"0"}, false};
        const auto picked = view.pick(request, clock.now(), random);
        bool possible = false;
        for (const auto& [name, t] : view.targets()) {
            possible = possible || (!t.info.leaving && name != "0" && t.report.running < full);
        }
        RC_ASSERT(picked.has_value() == possible);
        if (picked) {
            const auto& t = view.targets().find(picked->name)->second;
            RC_ASSERT(!t.info.leaving && picked->name != "0" && t.report.running < full);
        }
    });
}

void check_affinity_and_spill() {
    manual_clock clock;
    random_source random(1);
    target_view view("z0");
    view.set_targets({info("a", "z0"), info("b", "z0"), info("c", "z1")});
    for (const char* name : {"a", "b", "c"}) {
        view.record_report(name, report(0, clock.now()));
    }
    const pick_request request{"m", prefix_hash("the same start"), {}, false};
    const auto first = view.pick(request, clock.now(), random);
    require(first && first->prefix_affinity && first->name != "c",
            "the prompt prefix selects a target in the local zone");
    for (int i = 0; i < 8; ++i) {
        const auto p = view.pick(request, clock.now(), random);
        require(p && p->name != "c", "requests stay in the local zone while it has capacity");
        view.record_sent(p->name);
    }
    const auto spilled = view.pick(request, clock.now(), random);
    require(spilled && spilled->name == "c",
            "requests go to another zone when the local one is full");
    view.record_failure("c", clock.now());
    for (int i = 0; i < 4; ++i) {
        const auto p = view.pick(request, clock.now(), random);
        require(p && p->name != "c",
                "a failed target is not picked, and some requests may queue inside the others");
        view.record_sent(p->name);
    }
    require(!view.pick(request, clock.now(), random), "full targets get no requests");
    clock.advance(target_view::failure_backoff);
    require(view.pick(request, clock.now(), random).has_value(),
            "a failed target is picked again after the backoff");
}

void check_corrected_load() {
    manual_clock clock;
    target_view view("z0");
    view.set_targets({info("a", "z0")});
    view.record_report("a", report(1, clock.now()));
    clock.advance(seconds(1));
    const time_point sent = clock.now();
    view.record_sent("a");
    view.record_sent("a");
    require(view.estimated_load("a") == 3, "requests sent since the report are added to the load");
    view.record_ended("a", sent);
    require(view.estimated_load("a") == 2, "requests that have ended are no longer counted");
    require(!view.record_report("a", report(0, clock.now() - seconds(5))),
            "a report older than the latest one is ignored");
}

void check_fair_queue() {
    property("waiting customers are served in proportion to their weights", [] {
        const int weight = *rc::gen::inRange(1, 5);
        fair_queue queue({.max_per_customer = 1000, .max_total = 10'000});
        std::map<std::uint64_t, char> owner;
        std::uint64_t id = 0;
        for (int i = 0; i < 200; ++i) {
            owner[++id] = 'a';
            queue.push(id, "a", 1, time_point::max());
            owner[++id] = 'b';
            queue.push(id, "b", weight, time_point::max());
        }
        std::map<char, int> served;
        for (int i = 0; i < 100; ++i) {
            ++served[owner[*queue.front()]];
            queue.pop();
        }
        const double expected = 100.0 * weight / (weight + 1);
        RC_ASSERT(std::abs(served['b'] - expected) <= 2);
    });
    property("every request leaves the queue exactly once", [] {
        fair_queue queue({.max_per_customer = 8, .max_total = 20});
        std::size_t inside = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        std::uint64_t id = 0;
        manual_clock clock;
        for (const int step : steps) {
            if (step < 3) {
                const bool taken = queue.push(++id, std::string(1, static_cast<char>('a' + step)),
                                              1, clock.now() + seconds(step + 1));
                inside += taken ? 1 : 0;
            } else if (step == 3 && queue.front()) {
                queue.pop();
                --inside;
            } else if (step == 4) {
                clock.advance(seconds(1));
                inside -= queue.expire(clock.now()).size();
            }
            RC_ASSERT(queue.size() == inside);
            RC_ASSERT(inside <= 20);
        }
    });
}

void check_retry_budget() {
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request();
        retries += budget.try_take() ? 1 : 0;
    }
    require(retries <= 10 + 100, "1000 requests allow at most the burst of 10 plus 100 retries");
}

} // namespace

int main() {
    check_pick();
    check_affinity_and_spill();
    check_corrected_load();
    check_fair_queue();
    check_retry_budget();
    return eelgrassdoor::test::finish();
}
