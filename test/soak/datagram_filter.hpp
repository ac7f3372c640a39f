/// \file
/// Drops datagrams between processes of this machine.
#pragma once

#include "net/asio.hpp"

#include <optional>
#include <sys/types.h>

namespace eelgrassdoor::test {

/// Makes the kernel drop what arrives at the present UDP sockets of process \p pid, from \p sender
/// or from everywhere, until pass_datagrams(). The process must be a child of this one; it notices
/// nothing. Returns false when the kernel does not permit it; a process that has ended or has no
/// such socket yet is left alone.
bool drop_datagrams(pid_t pid, std::optional<net::asio::ip::address_v4> sender);
/// Lets everything arrive again. Returns false when the kernel does not permit it.
bool pass_datagrams(pid_t pid);

} // namespace eelgrassdoor::test
