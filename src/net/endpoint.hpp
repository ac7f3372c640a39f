/// \file
/// Defines how addresses are read from text.
#pragma once

#include "base/error.hpp"
#include "net/asio.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// Reads `IP:PORT`. There are no name look-ups.
result<tcp::endpoint> parse_endpoint(std::string_view text);

/// The IP part of `IP:PORT`; the whole text when it has no port.
std::string_view address_part(std::string_view text);

} // namespace eelgrassdoor::net
