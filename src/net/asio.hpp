/// \file
/// Includes Boost.Asio with a workaround for Boost 1.74, and defines short names for it.
#pragma once

// Boost 1.74's awaitable uses std::exchange without including its header, so <utility> comes first.
// clang-format off
#include <utility>
#include <boost/asio.hpp>
// clang-format on

namespace eelgrassdoor::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using io_error = boost::system::error_code;

/// A coroutine that runs on the event loop.
template <typename T = void> using task = asio::awaitable<T>;

/// Completion token of an operation whose error is stored in \p ec instead of thrown.
inline auto store_error(io_error& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

} // namespace eelgrassdoor::net
