/// \file
/// Reads what a process uses of its machine.
#pragma once

#include <cstddef>
#include <sys/types.h>

namespace eelgrassdoor::test {

/// Largest resident memory that the process has had, in bytes; 0 when it does not run.
std::size_t peak_memory(pid_t process);
/// Number of its open descriptors.
std::size_t open_descriptors(pid_t process);

} // namespace eelgrassdoor::test
