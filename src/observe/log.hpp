/// \file
/// Defines the narrow door to Boost.Log, which is slow to compile.
#pragma once

#include "observe/event.hpp"

#include <string_view>

namespace eelgrassdoor::observe {

/// Sends log lines of \p min_severity severity and above to standard error.
void init_log(severity min_severity);

/// Writes one line to the log.
void write_log(severity level, std::string_view line);

} // namespace eelgrassdoor::observe
