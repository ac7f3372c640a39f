/// \file
/// Defines how the time lines of many processes become one.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace eelgrassdoor::ctl {

/// Merges JSON Lines files by causal stamp and prints one line an event. \p subject limits the
/// output to one request or job when it is not empty. Returns the number of unreadable lines.
int merge_timelines(std::span<const std::string> files, const std::string& subject,
                    std::ostream& out);

} // namespace eelgrassdoor::ctl
