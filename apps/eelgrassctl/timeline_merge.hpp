/// \file
/// Defines merging the timelines of several processes.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace eelgrassdoor::ctl {

/// Merges timeline files by Lamport timestamp, then by host, and prints one line per event. Files
/// that cannot be opened are skipped. Returns the number of lines that are not valid events.
/// \param files paths of JSON Lines files as the daemons write them.
/// \param subject the id of the request or job to print; empty for all.
int merge_timelines(std::span<const std::string> files, const std::string& subject,
                    std::ostream& out);

} // namespace eelgrassdoor::ctl
