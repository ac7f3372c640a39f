/// \file
/// Defines a target as the fleet knows it from the target's own entry.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

/// Stands for a software version that is not known. Nothing goes on with what it has written.
inline constexpr std::string_view unknown_version = "(unknown)";

/// One run of a target process.
struct fleet_target {
    std::string id;
    std::string service;
    /// `IP:PORT`.
    std::string endpoint;
    std::string availability_zone;
    /// Version of the target's software; empty when the entry does not say. What two versions write
    /// does not fit together, so a text or stream goes on only at the version that began it.
    std::string version;
    /// Requests that the target runs concurrently.
    int slots = 1;
    /// Whether the target is shutting down and accepts no new requests.
    bool leaving = false;
    /// Start time in Unix milliseconds; distinguishes a restarted target from its earlier instance.
    std::uint64_t started_at = 0;
    /// How much longer the target was cold when it wrote its entry; nothing when the entry does not
    /// say.
    std::optional<duration> cold_remaining;

    bool operator==(const fleet_target&) const = default;
};

} // namespace eelgrassdoor::routing
