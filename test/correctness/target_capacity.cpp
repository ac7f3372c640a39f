/// \file
/// Tests the estimate of what each target takes well, in replays without a network, and compares it
/// with a limit on latency that grows by steps and shrinks by factors.
#include "routing/target_capacity.hpp"

#include "check.hpp"
#include "correctness/fixture/capacity_replay.hpp"

#include <cstdio>
#include <memory>
#include <string_view>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::routing;
using namespace eelgrassdoor::test;

constexpr std::uint64_t seed = 20261206;
/// Requests that a target holds at most without figures.
constexpr double full_limit = capacity_scenario::slots + capacity_scenario::queue;

std::vector<capacity_target> listed(std::size_t count, std::uint64_t started_at = 1) {
    std::vector<capacity_target> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({i, started_at, "s", capacity_scenario::slots});
    }
    return out;
}

/// The estimator of the product: rate against concurrency.
capacity_estimator by_rate(const std::shared_ptr<target_capacity>& capacity) {
    return {.record = [capacity](std::size_t target, int load, duration gap,
                                 time_point now) { capacity->record_gap(target, load, gap, now); },
            .figure = [capacity](std::size_t target) { return *capacity->find(target); }};
}

capacity_estimator by_rate(std::size_t targets) {
    auto capacity = std::make_shared<target_capacity>();
    capacity->set_listed(listed(targets));
    return by_rate(capacity);
}

/// The other way weighed: a limit on concurrency per target that falls by a tenth when a window's
/// mean gap is well above the lowest smoothed one of the service, and else grows by a half. Its
/// part of the full limit stands for the speed.
capacity_estimator by_latency_limit(std::size_t targets) {
    struct state {
        double sum = 0;
        int count = 0;
        double limit = full_limit;
        double smoothed = 0;
    };
    struct states {
        std::vector<state> all;
        time_point window_end{};
    };
    constexpr double tolerance = 1.25;
    const auto shared = std::make_shared<states>();
    shared->all.resize(targets);
    const auto record = [shared](std::size_t target, int /*load*/, duration gap, time_point now) {
        shared->all[target].sum += to_seconds(gap) * 1e3;
        ++shared->all[target].count;
        if (now < shared->window_end) {
            return;
        }
        shared->window_end = now + target_capacity::window;
        double lowest = 1e9;
        for (state& each : shared->all) {
            if (each.count > 0) {
                const double mean = each.sum / each.count;
                each.smoothed = each.smoothed == 0 ? mean : 0.9 * each.smoothed + 0.1 * mean;
                lowest = std::min(lowest, each.smoothed);
            }
        }
        for (state& each : shared->all) {
            if (each.count > 0) {
                const bool is_slow = each.sum / each.count > tolerance * lowest;
                each.limit =
                    std::clamp(is_slow ? 0.9 * each.limit : each.limit + 0.5, 2.0, full_limit);
                each.sum = 0;
                each.count = 0;
            }
        }
    };
    const auto figure = [shared](std::size_t target) {
        const double limit = shared->all[target].limit;
        capacity_figure out;
        out.speed = std::max(limit / full_limit, target_capacity::min_speed);
        out.pace_limit = limit < full_limit ? std::optional(static_cast<int>(limit)) : std::nullopt;
        return out;
    };
    return {record, figure};
}

void print(std::string_view scenario, std::string_view estimator, const replay_result& result) {
    const auto seconds_of = [](const std::optional<duration>& time) {
        return time ? to_seconds(*time) : -1;
    };
    std::printf("%-12.*s %-8.*s gap mean %5.1f p99 %6.1f ms, refused %3zu, speed error %.3f, "
                "departures %3zu, follows %4.1f s, recovers %4.1f s, early limit %d, other %d\n",
                static_cast<int>(scenario.size()), scenario.data(),
                static_cast<int>(estimator.size()), estimator.data(), result.mean_gap_ms,
                result.p99_gap_ms, result.refused, result.speed_error, result.departures,
                seconds_of(result.follows_after), seconds_of(result.recovers_after),
                result.early_limit.value_or(-1), result.other_limit.value_or(-1));
}

/// The results of a scenario without figures, with those of the product, and with the other way's.
struct comparison {
    replay_result neutral;
    replay_result rate;
    replay_result limit;
};

comparison compare(std::string_view name, const capacity_scenario& scenario) {
    comparison out{replay(scenario, by_rate(scenario.targets), false, seed),
                   replay(scenario, by_rate(scenario.targets), true, seed),
                   replay(scenario, by_latency_limit(scenario.targets), true, seed)};
    print(name, "neutral", out.neutral);
    print(name, "rate", out.rate);
    print(name, "limit", out.limit);
    return out;
}

void check_unlike_speeds() {
    const comparison results = compare("unlike", {.slowness = {1, 1, 1.3}});
    require(results.rate.speed_error < 0.04, "the speeds of unlike targets are found");
    require(results.rate.speed_error < results.limit.speed_error,
            "the estimate is closer than that of a limit on latency");
    require(results.rate.mean_gap_ms < results.neutral.mean_gap_ms,
            "events come faster when fast targets get more requests");
    require(results.rate.refused <= results.neutral.refused,
            "no more requests find all targets full");
    const std::vector<std::size_t>& streams = results.rate.streams;
    require(streams[2] > streams[0] / 4, "a slow target still gets requests");
}

void check_calm_fleet() {
    const comparison results = compare("calm", {.length = seconds(300)});
    require(!results.rate.was_off_neutral, "like targets have neutral figures at all times");
    require(results.rate.streams == results.neutral.streams,
            "the placement on like targets is the same as without figures");
    for (const double rate : {50.0, 80.0, 95.0}) {
        const capacity_scenario scenario{.streams_per_second = rate, .length = seconds(120)};
        for (std::uint64_t each = seed + 1; each <= seed + 5; ++each) {
            require(!replay(scenario, by_rate(scenario.targets), true, each).was_off_neutral,
                    "like targets have neutral figures at any load and seed");
        }
    }
}

void check_disturbed_spans() {
    const comparison results =
        compare("spans", {.noisy_events = 0, .noisy_spans = 0.15, .length = seconds(300)});
    require(results.rate.departures < results.limit.departures / 4,
            "short disturbances of whole targets seldom change a figure");
    require(results.rate.mean_gap_ms < 1.02 * results.neutral.mean_gap_ms,
            "short disturbances cost callers nothing");
}

void check_slow_before_full() {
    const comparison results =
        compare("early", {.slows_above = {4, 0, 0}, .streams_per_second = 80});
    require(results.rate.early_limit && *results.rate.early_limit >= 3,
            "the load above which a target slows is found");
    require(!results.rate.other_limit, "targets that keep their pace have no limit");
    require(results.rate.p99_gap_ms < results.neutral.p99_gap_ms,
            "pauses are shorter when targets that slow early get fewer requests");
}

void check_episode() {
    const comparison results =
        compare("episode", {.episode = {{seconds(20), seconds(30)}}, .length = seconds(60)});
    require(results.rate.follows_after && *results.rate.follows_after <= seconds(5),
            "a target that becomes four times as slow is found within five seconds");
    require(results.rate.recovers_after && *results.rate.recovers_after <= seconds(10),
            "a target that is fast again is found within ten seconds");
    require(results.rate.p99_gap_ms <= results.neutral.p99_gap_ms,
            "a slow target gets fewer requests");
}

/// Feeds \p capacity for \p length with target 0 of \p slowness and others of 1.
time_point feed(target_capacity& capacity, std::size_t targets, double slowness, time_point from,
                duration length) {
    for (time_point now = from; now < from + length; now += milliseconds(40)) {
        for (std::size_t i = 0; i < targets; ++i) {
            const double ms = 40 * (i == 0 ? slowness : 1);
            capacity.record_gap(
                i, 3, std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)), now);
        }
    }
    return from + length;
}

void check_restart_and_lost_samples() {
    target_capacity capacity;
    std::vector<std::uint64_t> changes;
    capacity.on_change = [&](std::uint64_t target, const capacity_figure& /*figure*/) {
        changes.push_back(target);
    };
    capacity.set_listed(listed(4));
    time_point now = feed(capacity, 4, 2, time_point() + std::chrono::hours(1), seconds(12));
    const capacity_figure* figure = capacity.find(0);
    require(std::abs(figure->speed - 0.5) < 0.02, "a target of half the speed is found");
    require(capacity.below_neutral_count() == 1, "it is the only one below neutral");
    require(changes == std::vector<std::uint64_t>{0}, "its change is reported once");
    capacity.set_listed(listed(4, 2));
    require(capacity.find(0) == figure && figure->speed < 0.6,
            "a restarted target keeps its figure at first");
    now = feed(capacity, 4, 1, now, seconds(5));
    require(figure->is_neutral(), "a restarted target that is fast now is neutral within 5 s");

    now = feed(capacity, 4, 3, now, seconds(10));
    require(!figure->is_neutral(), "a target that is slow again is found");
    capacity.expire(now + seconds(13));
    require(figure->is_neutral(), "without samples a figure becomes neutral");
    require(changes.size() == 4, "each change between neutral and not is reported");

    now = feed(capacity, 4, 100, now + seconds(20), seconds(10));
    require(figure->speed == target_capacity::min_speed, "the speed is bounded below");
    now = feed(capacity, 4, 0.1, now, seconds(10));
    require(figure->speed == target_capacity::max_speed, "the speed is bounded above");
    capacity.set_listed(listed(1));
    capacity.record_gap(9, 1, milliseconds(40), now);
    feed(capacity, 1, 3, now, seconds(10));
    require(capacity.find(0)->is_neutral(), "a target without others to compare with is neutral");
    require(capacity.find(9) == nullptr, "targets that are not listed have no figure");
}

} // namespace

int main() {
    check_unlike_speeds();
    check_calm_fleet();
    check_disturbed_spans();
    check_slow_before_full();
    check_episode();
    check_restart_and_lost_samples();
    return finish();
}
