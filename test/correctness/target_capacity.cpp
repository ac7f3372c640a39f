/// \file
/// Tests the estimate of what each target takes well, in replays without a network, and compares it
/// with a limit on latency that grows by steps and shrinks by factors.
#include "routing/target_capacity.hpp"

#include "check.hpp"
#include "correctness/fixture/capacity_replay.hpp"
#include "fleet/message.hpp"

#include <cstdio>
#include <memory>
#include <set>
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

/// What \p capacity reports now, after it was sent in a datagram of the fleet.
pace_reports sent_reports(target_capacity& capacity, time_point now) {
    const std::string bytes = peer::encode(fleet::to_entries(capacity.reports(now)));
    return fleet::to_pace_reports(*peer::decode<fleet::pace_entries>(bytes));
}

/// Daemons of which each has a stream at two targets at a time; \p loss is the part of the reports
/// that do not arrive.
class sharing_fleet {
public:
    static constexpr std::size_t daemons = 16;
    static constexpr std::size_t targets = 12;

    sharing_fleet() : m_all(daemons) {
        for (target_capacity& each : m_all) {
            each.set_listed(listed(targets));
        }
    }

    void run(duration length, double loss) {
        const time_point end = m_now + length;
        for (; m_now < end; m_now += milliseconds(40)) {
            for (std::size_t i = 0; i < daemons; ++i) {
                const std::size_t step = static_cast<std::size_t>(to_seconds(m_now - m_start));
                for (const std::size_t target :
                     {(i + step * 5) % targets, (i * 7 + step) % targets}) {
                    m_all[i].record_gap(target, 3, milliseconds(target == 0 ? 80 : 40), m_now);
                }
            }
            exchange(loss);
        }
    }
    [[nodiscard]] double speed_at(std::size_t daemon) const { return m_all[daemon].find(0)->speed; }
    void restart(std::size_t daemon) {
        m_all[daemon] = target_capacity();
        m_all[daemon].set_listed(listed(targets));
    }
    [[nodiscard]] std::size_t count_at_half_speed() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < daemons; ++i) {
            count += std::abs(speed_at(i) - 0.5) < 0.05 ? 1 : 0;
        }
        return count;
    }

private:
    void exchange(double loss) {
        for (std::size_t from = 0; from < daemons; ++from) {
            const pace_reports reports = sent_reports(m_all[from], m_now);
            for (std::size_t to = 0; to < daemons; ++to) {
                if (to != from && m_random.uniform() >= loss) {
                    m_all[to].merge(std::to_string(from), reports, m_now);
                }
            }
        }
    }

    std::vector<target_capacity> m_all;
    time_point m_start = time_point() + std::chrono::hours(1);
    time_point m_now = m_start;
    random_source m_random{seed};
};

void check_sharing() {
    sharing_fleet shares;
    shares.run(seconds(8), 0);
    require(shares.count_at_half_speed() == sharing_fleet::daemons,
            "every daemon knows the slow target although each sees few");
    shares.restart(3);
    shares.run(seconds(5), 0);
    require(std::abs(shares.speed_at(3) - 0.5) < 0.05,
            "a daemon that has just started knows the slow target within five seconds");

    sharing_fleet lossy;
    lossy.run(seconds(8), 0.9);
    require(lossy.count_at_half_speed() == sharing_fleet::daemons,
            "the loss of nine reports in ten changes nothing, as reports are repeated");

    sharing_fleet alone;
    alone.run(seconds(20), 1);
    require(alone.count_at_half_speed() < sharing_fleet::daemons,
            "daemons that do not hear each other know only what they see");
}

void check_report_bounds() {
    target_capacity capacity;
    capacity.set_listed(listed(100));
    time_point now = time_point() + std::chrono::hours(1);
    std::set<std::uint64_t> reported;
    for (int i = 0; i < 100; ++i) {
        for (std::size_t target = 0; target < 100; ++target) {
            capacity.record_gap(target, 1000, seconds(100), now);
        }
        const pace_reports reports = sent_reports(capacity, now);
        require(reports.reports.size() == target_capacity::max_reports, "reports are bounded");
        for (const pace_report& each : reports.reports) {
            reported.insert(each.target);
            require(each.load == 255 && each.gap > seconds(6), "values saturate");
        }
        now += target_capacity::window;
    }
    require(reported.size() == 100, "all targets are reported in turn");
}

} // namespace

int main() {
    check_unlike_speeds();
    check_calm_fleet();
    check_disturbed_spans();
    check_slow_before_full();
    check_episode();
    check_restart_and_lost_samples();
    check_sharing();
    check_report_bounds();
    return finish();
}
