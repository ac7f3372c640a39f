/// \file
/// Defines the detection that this host reaches no target. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

/// Tells from the connections that this host opens whether it is partitioned from all targets,
/// though other hosts may reach them. Not thread-safe.
class target_reachability {
public:
    /// Number of different targets that must have been unreachable since one was last reached; all
    /// of them when fewer are listed.
    static constexpr std::size_t min_unreachable = 3;
    /// Interval at which a partitioned host tries a direct connection, so that it learns of the end
    /// of the partition.
    static constexpr duration probe_interval = milliseconds(500);

    /// Sets the number of targets that are listed.
    void set_target_count(std::size_t count) { m_target_count = count; }
    /// Record the outcome of opening a connection to a target. They return whether
    /// is_partitioned() has changed.
    bool record_connected();
    bool record_unreachable(std::string_view target);

    /// Whether this host reaches no target.
    [[nodiscard]] bool is_partitioned() const;
    /// Whether to try a direct connection now: always unless the host is partitioned, and otherwise
    /// once in each probe_interval.
    bool should_connect_directly(time_point now);

private:
    std::size_t m_target_count = 0;
    /// Targets that were unreachable since one was reached.
    std::set<std::string, std::less<>> m_unreachable;
    time_point m_next_probe = time_point::min();
};

} // namespace eelgrassdoor::routing
