/// \file
/// Defines which targets have said in an answer that they leave. Pure: no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace eelgrassdoor::routing {

/// One start of a target that leaves.
struct leaving_instance {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    /// When it was started, in Unix milliseconds.
    std::uint64_t started_at = 0;

    bool operator==(const leaving_instance&) const = default;
};

/// A target's own word goes before its entry in the list, which may be stale or kept through an
/// outage. Only a later start under the same id ends it.
class leaving_targets {
public:
    /// Starts that are remembered. At the design size fewer than a thousand targets leave a day.
    static constexpr std::size_t max_remembered = 4096;

    /// True when the start was not known to leave.
    bool add(const leaving_instance& start);
    [[nodiscard]] bool contains(const leaving_instance& start) const;

private:
    /// Start times by the hash of the target's id.
    std::unordered_map<std::uint64_t, std::uint64_t> m_started_at;
};

} // namespace eelgrassdoor::routing
