/// \file
/// Defines the set of target instances that have announced their shutdown in a response. Performs
/// no I/O.
#pragma once

#include "routing/target_instance.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>

namespace eelgrassdoor::routing {

/// The target instances that have announced their shutdown. An announcement takes precedence over
/// the target's entry in the target list, which may be stale or retained through an outage. It does
/// not apply to another instance with the same id, whatever its start time, because the clock by
/// which that was taken may have been set back. Not thread-safe.
class leaving_targets {
public:
    /// Maximum number of instances; the one that was recorded first is evicted first. At the design
    /// size fewer than 1000 targets leave per day.
    static constexpr std::size_t max_instances = 4096;

    /// Records an instance. Returns whether it was not known to be leaving before.
    bool add(const target_instance& instance);
    /// Whether \p instance is known to be leaving.
    [[nodiscard]] bool contains(const target_instance& instance) const;

private:
    /// Target and start time.
    using instance_key = std::pair<std::uint64_t, std::uint64_t>;

    std::set<instance_key> m_instances;
    /// The elements of m_instances in the order in which they were recorded.
    std::deque<instance_key> m_order;
};

} // namespace eelgrassdoor::routing
