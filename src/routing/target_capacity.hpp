/// \file
/// Defines the estimate of what each target takes well, learnt from the pace of its answers.
/// Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassdoor::routing {

/// What a target takes well, against the other targets of its service.
struct capacity_figure {
    /// Pace relative to the median of the service; exactly 1 when neutral.
    double speed = 1;
    /// Concurrent requests up to which the target keeps its pace; nothing when no limit was found.
    std::optional<int> pace_limit;

    [[nodiscard]] bool is_neutral() const { return speed == 1 && !pace_limit; }
    bool operator==(const capacity_figure&) const = default;
};

/// A target as far as its capacity is concerned.
struct capacity_target {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    /// Start time of the process; see fleet_target::started_at.
    std::uint64_t started_at = 0;
    std::string service;
    int slots = 1;
};

/// What one daemon measured at one target within a window.
struct pace_report {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    /// Median number of requests in flight.
    int load = 0;
    /// Median time between events.
    duration gap{};
};

/// The reports of one daemon on its latest window.
struct pace_reports {
    /// Differs from that of the daemon's other recent windows.
    std::uint32_t window = 0;
    std::vector<pace_report> reports;
};

/// Estimates speeds and pace limits from the times between the events of streams. Samples of one
/// target are reduced to the median of a window; a figure is the median over recent windows, so
/// that single slow requests and short disturbances change nothing. Without samples a figure
/// becomes neutral. Daemons exchange what they measured and not their figures: one of many sees few
/// targets, and one that has just started learns as fast as the others. Not thread-safe.
class target_capacity {
public:
    /// Length of a window. A stream with an event every 40 ms gives it a dozen samples.
    static constexpr duration window = milliseconds(500);
    /// Windows of one target over which its speed is the median: a change shows after five of them.
    static constexpr std::size_t speed_windows = 9;
    /// Windows of one target that are kept, for the pace at different loads.
    static constexpr std::size_t max_windows = 24;
    /// Age at which a window no longer counts.
    static constexpr duration window_lifetime = seconds(12);
    /// Bounds of the speed: a slow target still gets requests, by which it is measured, and a fast
    /// one is not flooded.
    static constexpr double min_speed = 0.25;
    static constexpr double max_speed = 1.5;
    /// Lower bound of the pace limit.
    static constexpr int min_pace_limit = 2;

    /// Maximum number of reports at a time. With hundreds of peers, each of which gets several
    /// digests per second, more would take much of a slow link.
    static constexpr std::size_t max_reports = 12;

    /// Called when the figure of a target leaves or returns to neutral.
    std::function<void(std::uint64_t target, const capacity_figure&)> on_change;

    /// Replaces the listed targets. A restarted one keeps half of its windows, so that fewer new
    /// ones outvote them.
    void set_listed(const std::vector<capacity_target>& targets);
    /// Records the time between two events of a stream at a listed target that had \p load requests
    /// in flight, including this one. Others are ignored.
    void record_gap(std::uint64_t target, int load, duration gap, time_point now);
    /// What this daemon measured in its latest complete window, for the other daemons. With more
    /// than max_reports targets, successive windows report them in turn.
    [[nodiscard]] const pace_reports& reports(time_point now);
    /// Takes over the reports of another daemon, unless they are those that it sent before.
    void merge(std::string_view peer, const pace_reports& received, time_point now);
    /// Forgets which reports \p peer has sent.
    void remove_peer(std::string_view peer);
    /// The figure of a listed target; stays valid while it is listed. Null for others.
    [[nodiscard]] const capacity_figure* find(std::uint64_t target) const;
    /// Makes figures neutral whose windows have expired. Costs nothing until the next window.
    void expire(time_point now);
    /// Number of targets whose figure is below neutral.
    [[nodiscard]] std::size_t below_neutral_count() const;
    /// When a figure last left or returned to neutral; nothing if none ever did.
    [[nodiscard]] std::optional<time_point> changed_at() const { return m_changed_at; }

private:
    /// Samples of one window that are kept; later ones replace earlier ones in turn.
    static constexpr std::size_t max_samples = 16;

    struct window_pace {
        time_point at;
        /// Median number of requests in flight.
        float load = 0;
        /// Logarithm of the median gap in milliseconds.
        float log_gap = 0;
    };
    struct service_state;
    struct target_state {
        std::uint64_t started_at = 0;
        int slots = 1;
        service_state* service = nullptr;
        /// Oldest first.
        std::vector<window_pace> windows;
        std::array<float, max_samples> gaps{};
        std::array<float, max_samples> loads{};
        std::size_t samples = 0;
        /// Median of log gaps with the influence of the load removed; nothing when unknown.
        std::optional<double> log_pace;
        /// Evaluations in a row in which speed and pace limit were off neutral.
        int off_speed = 0;
        int off_pace = 0;
        capacity_figure figure;
    };
    struct service_state {
        std::vector<std::uint64_t> targets;
        time_point window_end = time_point::min();
        /// Moments of load and log gap within targets; their ratio is the slope common to all.
        double load_square = 0;
        double load_gap = 0;

        [[nodiscard]] double slope() const;
    };

    /// This daemon's samples of one target, for the reports.
    struct own_samples {
        std::vector<float> gaps;
        std::vector<float> loads;
    };

    void add_sample(target_state& state, float load, float log_gap, time_point now);
    void close_window(service_state& service, time_point now);
    /// Moves the samples of the window into `windows`. Returns whether there were any.
    static bool take_samples(service_state& service, target_state& target, time_point now);
    static void update_pace(const service_state& service, target_state& target);
    void update_speed(target_state& target, double median_pace, bool comparable) const;
    void update_pace_limit(const service_state& service, target_state& target) const;

    std::unordered_map<std::uint64_t, target_state> m_targets;
    std::map<std::string, service_state, std::less<>> m_services;
    std::optional<time_point> m_changed_at;
    std::map<std::uint64_t, own_samples> m_own;
    pace_reports m_reports;
    time_point m_reports_end = time_point::min();
    /// The latest window that each daemon reported, by name.
    std::map<std::string, std::uint32_t, std::less<>> m_peer_windows;
};

} // namespace eelgrassdoor::routing
