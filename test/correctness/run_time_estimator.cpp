/// \file
/// Which batch items go first under overload: a replay of a backlog on a few slots.
#include "check.hpp"
#include "jobs/run_time_estimator.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace {

using namespace eelgrassdoor;
using eelgrassdoor::jobs::item_forecast;
using eelgrassdoor::test::require;

struct waiting_item {
    time_point due;
    bool started = false;
};

/// Runs items of 5 s, due 18 s after they came, on 10 slots that are offered a quarter more than
/// they can do for 100 s, as after a loss of targets. Returns the share that is done in time.
double replay(bool forecast_first) {
    constexpr duration run_time = seconds(5);
    constexpr duration step = milliseconds(100);
    item_forecast forecast;
    forecast.note_complete(run_time, 100);
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
            bool picked_in_time = false;
            for (std::size_t i = 0; free_at <= now && i < items.size(); ++i) {
                const bool can = forecast_first && forecast.in_time(0, now, items[i].due);
                const bool better = !picked || can > picked_in_time ||
                                    (can == picked_in_time && items[i].due < items[*picked].due);
                if (!items[i].started && better) {
                    picked = i;
                    picked_in_time = can;
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

void check_learning() {
    item_forecast forecast;
    const time_point now = time_point{} + seconds(10);
    require(forecast.in_time(0, now, now) && !forecast.in_time(0, now, now - seconds(1)),
            "without experience only what is past due is late");
    forecast.note_complete(seconds(4), 200);
    require(!forecast.in_time(0, now, now + seconds(3)), "a whole item does not fit into 3 s");
    require(forecast.in_time(150, now, now + seconds(3)), "the last quarter of one does");
}

} // namespace

int main() {
    check_learning();
    const double earliest_due = replay(false);
    const double forecast_first = replay(true);
    require(forecast_first > 0.7, "of 125% offered, at least 70% are done in time, it was " +
                                      std::to_string(forecast_first));
    require(forecast_first > earliest_due + 0.2,
            "earliest due first does less: " + std::to_string(earliest_due));
    std::printf("in time: earliest due %.3f, in time first %.3f\n", earliest_due, forecast_first);
    return eelgrassdoor::test::finish();
}
