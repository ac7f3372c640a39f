/// \file
/// Defines the request limits that targets name in their responses. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/target_instance.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace eelgrassdoor::routing {

/// The numbers of requests per second that targets take from all daemons together. A target names
/// its limit in every response for as long as it applies. Not thread-safe.
class target_limits {
public:
    /// Maximum number of targets; several times the 870 of the design size.
    static constexpr std::size_t max_targets = 4096;

    /// Records a response, received at \p now, to a request that was sent at \p sent_at. \p limit
    /// is the number of requests per second that it names, or nothing. A response without a limit
    /// ends the one in force only if its request was sent after that was named, because responses
    /// on different connections may overtake each other. Returns whether the limit has changed.
    bool record_response(const target_instance& instance, std::optional<double> limit,
                         time_point sent_at, time_point now);
    /// The limit in force at \p instance, in requests per second; nothing if it has none.
    [[nodiscard]] std::optional<double> limit_of(const target_instance& instance) const;

private:
    struct limit_state {
        std::uint64_t started_at = 0;
        double requests_per_second = 0;
        /// When a response that named the limit was last received.
        time_point named_at = time_point::min();
        /// When the latest request was sent whose response named no limit.
        time_point ended_at = time_point::min();

        [[nodiscard]] std::optional<double> limit() const {
            const bool in_force = named_at != time_point::min() && named_at >= ended_at;
            return in_force ? std::optional(requests_per_second) : std::nullopt;
        }
    };

    /// The state for \p instance, or null when nothing or only an earlier instance is known.
    [[nodiscard]] const limit_state* find(const target_instance& instance) const;
    /// The state for \p instance, which replaces that of an earlier instance; null when a later
    /// instance is known.
    limit_state* find_or_create(const target_instance& instance);

    /// By target.
    std::unordered_map<std::uint64_t, limit_state> m_states;
};

} // namespace eelgrassdoor::routing
