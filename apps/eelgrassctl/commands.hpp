/// \file
/// Defines the commands of eelgrassctl.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace eelgrassdoor::ctl {

/// Runs one command line and prints to \p out and \p err. Returns the exit status: 0 success, 1
/// failure, 2 usage error, 3 the outcome of a change is unknown.
/// \param arguments the command line without the program name.
int run(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace eelgrassdoor::ctl
