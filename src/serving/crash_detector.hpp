/// \file
/// Defines the observation of targets that crash on a prompt.
#pragma once

#include "routing/fleet_target.hpp"
#include "serving/service_context.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassdoor::serving {

/// The hashes of the segments of a prompt that requests can share: all but the last.
std::vector<std::uint64_t> shared_segments(std::span<const prompt_segment> prompt);

/// Starts to check whether \p target has ended, because it closed the connection of a request with
/// these segments before it answered. If it refuses connections, the crash counts as evidence
/// against the segments. A target that only reset the connection does not.
void check_for_crash(service_context& context, const routing::fleet_target& target,
                     std::vector<std::uint64_t> segments);

/// Records that a target goes on answering a request with these segments.
void record_segments_served(service_context& context, std::span<const std::uint64_t> segments);

/// Whether \p why means that a target that had the request closed the connection, as opposed to an
/// expired deadline or a request that was not sent.
[[nodiscard]] bool is_closed_by_target(const error& why);

/// The error for a request whose prompt has a segment in quarantine; nothing if it has none.
[[nodiscard]] std::optional<error> quarantine_error(const service_context& context,
                                                    std::span<const std::uint64_t> segments);

} // namespace eelgrassdoor::serving
