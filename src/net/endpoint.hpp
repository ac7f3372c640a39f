/// \file
/// Defines the parsing of network addresses.
#pragma once

#include "base/error.hpp"
#include "net/asio.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// Parses `IP:PORT` with a port from 1 to 65535. Host names are not resolved. Fails with
/// error_code::invalid_request.
result<tcp::endpoint> parse_endpoint(std::string_view text);

/// The IP part of `IP:PORT`; the whole text when it has no port.
std::string_view address_part(std::string_view text);

} // namespace eelgrassdoor::net
