/// \file
/// Every item ends with exactly one result; lanes and scheduler keep their bounds.
#include "batch/job_progress.hpp"
#include "batch/job_record.hpp"
#include "batch/scheduler.hpp"
#include "batch/slot_allocator.hpp"
#include "check.hpp"

#include <map>
#include <set>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::batch;
using eelgrassdoor::test::property;
using eelgrassdoor::test::require;

void check_interval_set() {
    property("an interval set holds what a set holds", [] {
        interval_set ranges;
        std::set<std::uint64_t> plain;
        for (const auto n : *rc::gen::container<std::vector<std::uint64_t>>(
                 rc::gen::inRange<std::uint64_t>(0, 60))) {
            RC_ASSERT(ranges.add(n) == plain.insert(n).second);
        }
        RC_ASSERT(ranges.size() == plain.size());
        for (std::uint64_t n = 0; n < 61; ++n) {
            RC_ASSERT(ranges.contains(n) == plain.contains(n));
        }
        std::size_t runs = 0;
        for (const std::uint64_t n : plain) {
            runs += plain.contains(n - 1) ? 0 : 1;
        }
        RC_ASSERT(ranges.ranges() == runs);
    });
}

/// Runs a job with random outcomes and owner changes until all items have a committed result.
void check_one_result_each() {
    property("each item has exactly one committed result", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 30);
        const bool idempotent = *rc::gen::arbitrary<bool>();
        std::vector<item_entry> committed;
        std::map<std::uint64_t, int> sent;
        auto progress = std::make_unique<job_progress>(count);
        std::set<std::uint64_t> cleared;
        for (int step = 0; step < 3000; ++step) {
            if (*rc::gen::inRange(0, 20) == 0) {
                // The owner is lost; what was not committed is gone.
                progress = std::make_unique<job_progress>(count);
                for (const item_entry& e : committed) {
                    progress->restore(e);
                }
                for (const std::uint64_t i : progress->take_unclear()) {
                    progress->add_result({i, false, true, "unknown"});
                }
                cleared.clear();
            }
            const std::size_t waiting = progress->uncommitted().size();
            const auto commit = *rc::gen::inRange<std::size_t>(0, waiting + 1);
            for (std::size_t i = 0; i < commit; ++i) {
                committed.push_back(progress->uncommitted()[i]);
            }
            for (const std::uint64_t i : progress->note_committed(commit)) {
                cleared.insert(i);
                progress->put_back(i);
            }
            const auto index = progress->next();
            if (!index) {
                if (progress->all_done() && progress->uncommitted().empty()) {
                    break;
                }
                continue;
            }
            if (!idempotent && !cleared.contains(*index)) {
                progress->add_intent(*index);
                continue;
            }
            const auto outcome = *rc::gen::element(
                attempt_outcome::answered, attempt_outcome::failed, attempt_outcome::not_run);
            sent[*index] += outcome == attempt_outcome::not_run ? 0 : 1;
            if (outcome == attempt_outcome::answered) {
                progress->add_result({*index, false, false, "ok"});
            } else if (progress->note(*index, outcome, idempotent)) {
                progress->add_result({*index, false, true, "failed"});
            }
        }
        std::map<std::uint64_t, int> results;
        for (const item_entry& e : committed) {
            results[e.index] += e.is_intent ? 0 : 1;
        }
        for (const auto& [index, n] : results) {
            RC_ASSERT(n == 1 || n == 0);
        }
        if (!idempotent) {
            for (const auto& [index, n] : sent) {
                RC_ASSERT(n <= 1);
            }
        }
    });
}

void check_lane() {
    property("after every online arrival, online requests and batch streams fit the slots", [] {
        manual_clock clock;
        lane l;
        const auto slots = *rc::gen::inRange(0U, 33U);
        l.configure(slots, *rc::gen::inRange(0, 100));
        std::map<std::string, std::uint32_t> held;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
            if (step < 6) {
                const std::string owner(1, static_cast<char>('a' + step % 3));
                held[owner] = l.ask(owner, held[owner], *rc::gen::inRange(0U, 40U), 1, clock.now());
            } else if (step < 10) {
                const auto changed = l.note_online(std::string(1, static_cast<char>('p' + step)),
                                                   *rc::gen::inRange(0U, 10U), clock.now());
                for (const grant_change& c : changed) {
                    held[c.owner] = c.granted;
                }
                RC_ASSERT(l.granted() <= l.free_slots(clock.now()));
                RC_ASSERT(l.free_slots(clock.now()) <= slots);
            } else {
                clock.advance(milliseconds(300));
            }
        }
    });
    manual_clock clock;
    lane reserve;
    reserve.configure(8, 25);
    require(reserve.ask("a", 0, 8, 1, clock.now()) == 6, "the reserve is kept free");
    require(reserve.note_online("p", 2, clock.now()).empty(),
            "the reserve takes online requests in without stopping a stream");
    require(reserve.ask("a", 6, 8, 1, clock.now()) == 6, "running streams go on");
    require(reserve.note_online("p", 3, clock.now()).front().granted == 5,
            "beyond the reserve a stream stops");
    require(reserve.ask("a", 4, 8, 1, clock.now()) == 4, "no new one begins above the window");
    require(reserve.note_online("p", 0, clock.now()).front().granted == 6,
            "when online requests end, the owner hears that it may use more");
    lane l;
    l.configure(16, 0);
    for (int round = 0; round < 3; ++round) {
        l.ask("a", l.ask("a", 0, 16, 1, clock.now()), 16, 1, clock.now());
        l.ask("b", 0, 16, 3, clock.now());
    }
    const std::uint32_t a = l.ask("a", 4, 16, 1, clock.now());
    const std::uint32_t b = l.ask("b", 12, 16, 3, clock.now());
    require(a == 4 && b == 12, "two owners share a window by weight");
}

void check_scheduler() {
    property("customers get items in proportion to their weights", [] {
        const int weight = *rc::gen::inRange(1, 9);
        scheduler s;
        const std::vector<ready_job> ready{
            {"j1", "a", 1, time_point::max()},
            {"j2", "b", static_cast<double>(weight), time_point::max()}};
        int b = 0;
        for (int i = 0; i < 1000; ++i) {
            b += *s.pick(ready) == 1 ? 1 : 0;
        }
        RC_ASSERT(std::abs(b - 1000.0 * weight / (weight + 1)) <= 2);
    });
    scheduler s;
    const time_point soon = time_point() + seconds(1);
    require(*s.pick({{"late", "a", 1, time_point::max()}, {"soon", "a", 1, soon}}) == 1,
            "the job that is due first goes first");
}

void check_ids() {
    require(job_id("c", "k", "d1") == job_id("c", "k", "d2"), "a key names the job");
    require(job_id("c", "", "d1") != job_id("c", "", "d2"), "without one the body does");
    require(job_id("c", "x", "d") != job_id("c2", "x", "d"), "customers do not meet");
    require(job_id("c", "d", "e") != job_id("c", "", "d"), "a key is no body");
    job_record record;
    record.job = "j";
    record.copies = {"a", "b"};
    record.segments = {{1, 20}, {2, 30}};
    record.state = job_state::cancelling;
    const auto read = job_record_from_json(to_json(record));
    require(read && to_json(*read) == to_json(record), "a record survives its JSON form");
}

} // namespace

int main() {
    check_interval_set();
    check_one_result_each();
    check_lane();
    check_scheduler();
    check_ids();
    return eelgrassdoor::test::finish();
}
