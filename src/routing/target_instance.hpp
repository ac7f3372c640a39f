/// \file
/// Defines the identification of one run of a target process.
#pragma once

#include <cstdint>

namespace eelgrassdoor::routing {

/// One run of a target process, as daemons name it to each other.
struct target_instance {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    /// Start time in Unix milliseconds.
    std::uint64_t started_at = 0;

    bool operator==(const target_instance&) const = default;
};

} // namespace eelgrassdoor::routing
