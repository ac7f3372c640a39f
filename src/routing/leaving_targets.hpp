/// \file
/// Defines the set of target instances that have announced their shutdown in a response. Performs
/// no I/O.
#pragma once

#include "routing/target_instance.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace eelgrassdoor::routing {

/// The target instances that have announced their shutdown. An announcement takes precedence over
/// the target's entry in the target list, which may be stale or retained through an outage. It does
/// not apply to an instance with the same id and a later start time. Not thread-safe.
class leaving_targets {
public:
    /// Maximum number of targets; the entry with the earliest start time is evicted first. At the
    /// design size fewer than 1000 targets leave per day.
    static constexpr std::size_t max_targets = 4096;

    /// Records an instance. Returns whether it was not known to be leaving before.
    bool add(const target_instance& instance);
    /// Whether \p instance, or a later instance of the same target, is known to be leaving.
    [[nodiscard]] bool contains(const target_instance& instance) const;

private:
    /// Latest leaving start time by stable_hash() of the target id.
    std::unordered_map<std::uint64_t, std::uint64_t> m_started_at;
};

} // namespace eelgrassdoor::routing
