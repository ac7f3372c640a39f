/// \file
/// Defines the detection that this host reaches no target. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

/// Tells from the requests that this host sends whether it is partitioned from all targets, though
/// other hosts may reach them. Responses count, not connections: something between this host and
/// the targets may accept connections and pass nothing on. Not thread-safe.
class target_reachability {
public:
    /// Number of different targets that must have failed to respond since one responded; all of
    /// them when fewer are listed.
    static constexpr std::size_t min_unreachable = 3;
    /// How long no target must have responded.
    static constexpr duration min_silence = milliseconds(500);
    /// Interval at which a partitioned host sends a request directly, so that it learns of the end
    /// of the partition.
    static constexpr duration probe_interval = milliseconds(500);
    /// The same for requests that must not be sent again, which are lost if the partition lasts.
    static constexpr duration unrepeatable_probe_interval = seconds(5);
    /// How long a direct attempt that has neither succeeded nor failed keeps others from beginning.
    /// Covers the time after which a request goes on at another target than a silent one.
    static constexpr duration max_probe_time = seconds(2);

    /// Sets the number of targets that are listed.
    void set_target_count(std::size_t count) { m_target_count = count; }
    /// Record that a target has responded to a request sent directly, or that it has not: the
    /// connection could not be opened, ended without a response, or was silent for too long. They
    /// return whether is_partitioned() has changed.
    bool record_response(time_point now);
    bool record_no_response(std::string_view target, time_point now);

    /// Whether this host reaches no target.
    [[nodiscard]] bool is_partitioned() const { return m_is_partitioned; }
    /// Whether a request may be sent directly: always unless the host is partitioned, and otherwise
    /// once in each probe interval, of which a new one begins when this returns true, unless the
    /// attempt before is in progress. When it has returned true while the host was partitioned,
    /// end_direct_attempt() must be called at the end of the attempt.
    bool try_begin_direct_attempt(bool is_repeatable, time_point now);
    void end_direct_attempt() { m_is_probing = false; }

private:
    std::size_t m_target_count = 0;
    /// Targets that failed to respond since one responded.
    std::set<std::string, std::less<>> m_silent;
    /// When a target last responded; nothing before.
    std::optional<time_point> m_responded_at;
    bool m_is_partitioned = false;
    /// When a request was last sent directly while the host was partitioned.
    std::optional<time_point> m_probed_at;
    /// Whether that request's attempt is in progress.
    bool m_is_probing = false;
};

} // namespace eelgrassdoor::routing
