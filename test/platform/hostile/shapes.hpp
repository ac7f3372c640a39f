/// \file
/// Defines the crowds of clients outside the limits.
#pragma once

#include "platform/hostile/crowd.hpp"

#include <optional>
#include <string_view>

namespace eelgrassdoor::test {

/// Body limit of callers in the tests, the smallest that operators set.
inline constexpr std::size_t body_limit = 4UL * 1024 * 1024;

/// The daemon's port that a crowd turns to.
enum class crowd_port { caller, peer, readiness, storage };

struct hostile_case {
    std::string_view name;
    crowd_port port = crowd_port::caller;
    crowd_shape shape;
};

/// Returns the case with this name.
std::optional<hostile_case> find_case(std::string_view name);

} // namespace eelgrassdoor::test
