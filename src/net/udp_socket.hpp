/// \file
/// Defines a UDP socket on the event loop.
#pragma once

#include "base/error.hpp"
#include "net/asio.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// Sends and receives datagrams on one port. A datagram that cannot be sent at once is dropped, as
/// any datagram may be lost in the network. Must be used on the thread of its event loop.
class udp_socket {
public:
    /// Called for each datagram; \p bytes is valid only during the call.
    using receive_handler = std::function<void(std::string_view bytes, const udp::endpoint& from)>;

    explicit udp_socket(const asio::any_io_executor& executor) : m_socket(executor) {}

    /// Binds \p local and starts to receive. Fails with error_code::unavailable when the address
    /// cannot be bound; then it may be called again.
    result<void> open(const udp::endpoint& local, receive_handler on_received);
    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    /// Sends one datagram, or drops it without notice when it is too large or cannot be sent.
    void send(std::string_view bytes, const udp::endpoint& to);
    /// Stops receiving; datagrams sent afterwards are dropped.
    void close();

private:
    void wait_for_datagram();
    void receive_all();

    udp::socket m_socket;
    receive_handler m_on_received;
};

} // namespace eelgrassdoor::net
