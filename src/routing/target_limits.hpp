/// \file
/// Defines the request limits that targets name in their responses. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/target_instance.hpp"
#include "routing/work_kind.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace eelgrassdoor::routing {

/// What one daemon knows of the request limit of a target, for the other daemons.
struct target_limit_report {
    target_instance instance;
    double requests_per_second = 0;
    /// How long ago a response that named the limit was last received.
    duration named_age{};
    /// How long ago the latest request was sent whose response named none; nothing if there was
    /// none.
    std::optional<duration> ended_age;
};

/// The numbers of requests per second that targets take from all daemons together. A target names
/// its limit in every response for as long as it applies; daemons tell each other, so that one that
/// has had no response from the target keeps to its limit too. Not thread-safe.
class target_limits {
public:
    /// Maximum number of targets; several times the 870 of the design size.
    static constexpr std::size_t max_targets = 4096;
    /// Maximum number of reports at a time. With dozens of peers, each of which gets several
    /// digests per second, all limits in each digest would fill a link of 30 Mbit/s.
    static constexpr std::size_t max_reports = 12;

    /// Replaces the instances in the target list, by target. While a target is listed, only its
    /// listed instance has a limit: the list is ordered by the store, unlike start times, which are
    /// taken from clocks that may be set back.
    void set_listed(std::map<std::uint64_t, std::uint64_t> started_at) {
        m_listed = std::move(started_at);
    }
    /// Records a response, received at \p now, to a request that was sent at \p sent_at. \p limit
    /// is the number of requests per second that it names, or nothing. A response without a limit
    /// ends the one in force only if its request was sent after that was named, because responses
    /// on different connections may overtake each other. Returns whether the limit has changed.
    bool record_response(const target_instance& instance, std::optional<double> limit,
                         time_point sent_at, time_point now);
    /// The limit in force at \p instance, in requests per second; nothing if it has none.
    [[nodiscard]] std::optional<double> limit_of(const target_instance& instance) const;

    /// The limits in force and those that ended recently. With more than max_reports of them,
    /// successive calls return them in turn.
    [[nodiscard]] std::vector<target_limit_report> reports(time_point now);
    /// Takes over the reports of another daemon. Returns the targets whose limit has changed.
    std::vector<target_instance> merge(std::span<const target_limit_report> reports,
                                       time_point now);

    /// Records that a limited target takes no more work of this kind until \p until.
    void record_denied(const target_instance& instance, work_kind kind, time_point until);
    /// Whether a limited target is known to take no work of this kind now.
    [[nodiscard]] bool is_denied(const target_instance& instance, work_kind kind,
                                 time_point now) const;

private:
    struct limit_state {
        std::uint64_t started_at = 0;
        double requests_per_second = 0;
        /// When a response that named the limit was last received.
        time_point named_at = time_point::min();
        /// When the latest request was sent whose response named no limit.
        time_point ended_at = time_point::min();
        /// When the limit last changed.
        time_point changed_at = time_point::min();
        /// By work_kind.
        std::array<time_point, 2> denied_until{time_point::min(), time_point::min()};

        [[nodiscard]] std::optional<double> limit() const {
            const bool in_force = named_at != time_point::min() && named_at >= ended_at;
            return in_force ? std::optional(requests_per_second) : std::nullopt;
        }
        [[nodiscard]] bool is_reported(time_point now) const;
    };

    /// The state for \p instance, or null when nothing or only an earlier instance is known.
    [[nodiscard]] const limit_state* find(const target_instance& instance) const;
    /// The state for \p instance, which replaces that of another instance; null when the target is
    /// listed with another instance, or is not listed and an instance with a later start time is
    /// known.
    limit_state* find_or_create(const target_instance& instance);
    /// Takes over one report. Returns whether the limit has changed.
    bool merge_report(const target_limit_report& report, time_point now);

    /// Start time of the listed instance by target.
    std::map<std::uint64_t, std::uint64_t> m_listed;
    /// By target.
    std::map<std::uint64_t, limit_state> m_states;
    /// The target after which the next reports begin.
    std::uint64_t m_last_reported = 0;
};

} // namespace eelgrassdoor::routing
