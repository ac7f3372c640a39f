/// \file
/// Defines the commands of eelgrassctl.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace eelgrassdoor::ctl {

/// Runs one command line; returns the exit status: 0 done, 1 failed, 2 wrong use, 3 outcome
/// unknown.
int run(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace eelgrassdoor::ctl
