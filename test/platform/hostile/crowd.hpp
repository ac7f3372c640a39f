/// \file
/// Defines a crowd of clients that send outside the limits and then stay connected.
#pragma once

#include "net/tcp_connection.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What each client of a crowd sends.
struct crowd_shape {
    std::size_t clients = 0;
    /// Sent once.
    std::string head;
    /// Sent \p pieces times after the head.
    std::string piece;
    std::size_t pieces = 0;
};

/// Clients of one endpoint. None reads a response, and none closes before the crowd is destroyed.
class crowd {
public:
    crowd(net::asio::any_io_executor executor, std::string endpoint, crowd_shape shape);

    /// Connects all clients and lets them send.
    void start();
    /// Whether each client has sent everything or has lost its connection.
    [[nodiscard]] bool is_done() const { return m_done == m_shape.clients; }
    /// Number of clients that sent everything.
    [[nodiscard]] std::size_t sent_all() const { return m_sent_all; }
    /// Closes all connections.
    void close();

private:
    net::task<> run();
    net::task<bool> send(std::shared_ptr<net::tcp_connection> connection);

    net::asio::any_io_executor m_executor;
    std::string m_endpoint;
    crowd_shape m_shape;
    std::vector<std::shared_ptr<net::tcp_connection>> m_connections;
    std::size_t m_done = 0;
    std::size_t m_sent_all = 0;
};

} // namespace eelgrassdoor::test
