/// \file
/// Tests the run-time estimator, also by simulating a backlog under overload.
#include "jobs/run_time_estimator.hpp"

#include "check.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::jobs::run_time_estimator;
using eelgrassdoor::test::require;

struct waiting_item {
    time_point due;
    bool started = false;
};

/// Simulates 100 s of overload, as after a loss of targets: items that run 5 s and are due 18 s
/// after arrival reach 10 slots at 125% of their capacity. Picks the item that is due first, either
/// among all items or, with \p feasible_first, among those that can still meet their due time.
/// Returns the share of items that finish in time.
double simulate_overload(bool feasible_first) {
    constexpr duration run_time = seconds(5);
    constexpr duration step = milliseconds(100);
    run_time_estimator estimator;
    estimator.record_completion(run_time, 100);
    std::vector<waiting_item> items;
    std::vector<time_point> slots(10);
    int in_time = 0;
    double offered = 0;
    time_point now{};
    for (; now < time_point{} + seconds(100); now += step) {
        for (offered += 2.5 * to_seconds(step); offered >= 1; offered -= 1) {
            items.push_back({now + seconds(18)});
        }
        for (time_point& free_at : slots) {
            std::optional<std::size_t> picked;
            bool picked_feasible = false;
            for (std::size_t i = 0; free_at <= now && i < items.size(); ++i) {
                const bool feasible =
                    feasible_first && estimator.meets_deadline(0, now, items[i].due);
                const bool better =
                    !picked || feasible > picked_feasible ||
                    (feasible == picked_feasible && items[i].due < items[*picked].due);
                if (!items[i].started && better) {
                    picked = i;
                    picked_feasible = feasible;
                }
            }
            if (picked) {
                items[*picked].started = true;
                free_at = now + run_time;
                in_time += free_at <= items[*picked].due ? 1 : 0;
            }
        }
    }
    return static_cast<double>(in_time) / static_cast<double>(items.size());
}

void check_estimates() {
    run_time_estimator estimator;
    const time_point now = time_point{} + seconds(10);
    require(estimator.meets_deadline(0, now, now) &&
                !estimator.meets_deadline(0, now, now - seconds(1)),
            "without samples, an item meets its due time if and only if that is not past");
    estimator.record_completion(seconds(4), 200);
    require(!estimator.meets_deadline(0, now, now + seconds(3)),
            "with a mean of 4 s, a new item cannot finish within 3 s");
    require(estimator.meets_deadline(150, now, now + seconds(3)),
            "the last quarter of an item of 4 s can finish within 3 s");
}

} // namespace

int main() {
    check_estimates();
    const double earliest_due = simulate_overload(false);
    const double feasible_first = simulate_overload(true);
    require(feasible_first > 0.7, "at 125% load, more than 70% of the items finish in time, got " +
                                      std::to_string(feasible_first));
    require(feasible_first > earliest_due + 0.2,
            "the share in time is more than 0.2 higher than with earliest-due-first, got " +
                std::to_string(earliest_due));
    std::printf("share in time: earliest-due-first %.3f, feasible-first %.3f\n", earliest_due,
                feasible_first);
    return eelgrassdoor::test::finish();
}
