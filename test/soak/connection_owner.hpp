/// \file
/// Finds the TCP connections of other processes of this machine.
#pragma once

#include "net/asio.hpp"

#include <cstdint>
#include <set>
#include <sys/types.h>

namespace eelgrassdoor::test {

/// Inode of a socket; 0 for none.
using socket_inode = std::uint64_t;

/// Returns the socket that an IPv4 connection has at its end \p local on this machine. Asks the
/// kernel (sock_diag), as /proc/net/tcp takes long to read on a machine with many closed
/// connections.
socket_inode find_socket(const net::tcp::endpoint& local, const net::tcp::endpoint& remote);

/// Returns the sockets that process \p pid holds; empty when it has ended.
std::set<socket_inode> sockets_of(pid_t pid);

} // namespace eelgrassdoor::test
