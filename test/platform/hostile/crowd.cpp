#include "platform/hostile/crowd.hpp"

#include "net/endpoint.hpp"

#include <utility>

namespace eelgrassdoor::test {

crowd::crowd(net::asio::any_io_executor executor, std::string endpoint, crowd_shape shape)
    : m_executor(std::move(executor)), m_endpoint(std::move(endpoint)), m_shape(std::move(shape)) {}

void crowd::start() {
    for (std::size_t i = 0; i < m_shape.clients; ++i) {
        net::asio::co_spawn(m_executor, run(), net::asio::detached);
    }
}

void crowd::close() {
    for (const auto& each : m_connections) {
        each->close();
    }
}

net::task<> crowd::run() {
    auto connection = std::make_shared<net::tcp_connection>(net::tcp::socket(m_executor));
    m_connections.push_back(connection);
    const bool sent = co_await send(connection);
    m_sent_all += sent ? 1 : 0;
    ++m_done;
}

net::task<bool> crowd::send(std::shared_ptr<net::tcp_connection> connection) {
    const auto endpoint = net::parse_endpoint(m_endpoint);
    if (!endpoint) {
        co_return false;
    }
    net::io_error ec = co_await connection->connect(endpoint.value());
    if (!ec) {
        ec = co_await connection->write(m_shape.head);
    }
    for (std::size_t i = 0; i < m_shape.pieces && !ec; ++i) {
        ec = co_await connection->write(m_shape.piece);
    }
    co_return !ec;
}

} // namespace eelgrassdoor::test
