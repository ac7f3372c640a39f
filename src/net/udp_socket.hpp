/// \file
/// Defines the datagram socket between daemons.
#pragma once

#include "base/error.hpp"
#include "net/asio.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// Sends and receives datagrams on one port. A datagram that cannot be sent at once is dropped,
/// as the network may do with any.
class udp_socket {
public:
    using receive_handler = std::function<void(std::string_view bytes, const udp::endpoint& from)>;

    explicit udp_socket(const asio::any_io_executor& executor) : m_socket(executor) {}

    result<void> open(const udp::endpoint& local, receive_handler on_received);
    void send(std::string_view bytes, const udp::endpoint& to);
    void close();

private:
    void wait_for_datagram();
    void receive_all();

    udp::socket m_socket;
    receive_handler m_on_received;
};

} // namespace eelgrassdoor::net
