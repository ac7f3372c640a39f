#include "net/udp_socket.hpp"

#include <array>

namespace eelgrassdoor::net {

namespace {

constexpr std::size_t max_datagram_bytes = 64 * 1024;

std::array<char, max_datagram_bytes>& receive_buffer() {
    thread_local std::array<char, max_datagram_bytes> buffer;
    return buffer;
}

} // namespace

result<void> udp_socket::open(const udp::endpoint& local, receive_handler on_received) {
    m_on_received = std::move(on_received);
    io_error ec;
    m_socket.open(local.protocol(), ec);
    m_socket.bind(local, ec);
    if (ec) {
        close();
        return error{error_code::unavailable, "cannot bind the UDP port: " + ec.message()};
    }
    m_socket.non_blocking(true, ec);
    wait_for_datagram();
    return success();
}

void udp_socket::send(std::string_view bytes, const udp::endpoint& to) {
    io_error dropped;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, dropped);
}

void udp_socket::close() {
    io_error ignored;
    m_socket.close(ignored);
}

void udp_socket::wait_for_datagram() {
    m_socket.async_wait(udp::socket::wait_read, [this](const io_error& ec) {
        if (ec) {
            return;
        }
        receive_all();
        wait_for_datagram();
    });
}

void udp_socket::receive_all() {
    for (;;) {
        udp::endpoint from;
        io_error ec;
        const std::size_t count =
            m_socket.receive_from(asio::buffer(receive_buffer()), from, 0, ec);
        // Other errors report that an earlier datagram reached no listener (ICMP port unreachable).
        if (ec == asio::error::would_block || ec == asio::error::bad_descriptor) {
            return;
        }
        if (!ec) {
            m_on_received(std::string_view(receive_buffer().data(), count), from);
        }
    }
}

} // namespace eelgrassdoor::net
