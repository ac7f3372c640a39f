/// \file
/// Wraps Boost.Log, so that its headers, which are slow to compile, are included in one file only.
#pragma once

#include "observe/event.hpp"

#include <string_view>

namespace eelgrassdoor::observe {

/// Sends log lines of severity \p min_severity and above to standard error. Call once per process.
void init_log(severity min_severity);

/// Writes one line to the log, unless \p level is below the minimum of init_log(). Thread-safe.
void write_log(severity level, std::string_view line);

} // namespace eelgrassdoor::observe
