/// \file
/// Defines the kinds of work that targets do.
#pragma once

#include <cstdint>

namespace eelgrassdoor::routing {

/// The kind of work that a request is; load is counted separately for each kind.
enum class work_kind : std::uint8_t { online = 0, batch = 1 };

} // namespace eelgrassdoor::routing
