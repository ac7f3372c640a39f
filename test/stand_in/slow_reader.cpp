#include "stand_in/slow_reader.hpp"

#include "net/endpoint.hpp"
#include "net/http_parser.hpp"
#include "net/notification.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

/// Larger than any response of the tests.
constexpr std::uint64_t max_body_bytes = 64UL * 1024 * 1024;

} // namespace

slow_reader::slow_reader(net::asio::any_io_executor executor, std::string endpoint,
                         std::string request, reading_pace pace)
    : m_socket(std::move(executor)), m_endpoint(std::move(endpoint)), m_request(std::move(request)),
      m_pace(pace) {}

void slow_reader::close() {
    m_is_closed = true;
    net::io_error ignored;
    m_socket.close(ignored);
}

net::task<> slow_reader::run() {
    const auto endpoint = net::parse_endpoint(m_endpoint);
    net::io_error ec;
    if (endpoint && !m_is_closed) {
        m_socket.open(endpoint.value().protocol(), ec);
        m_socket.set_option(net::asio::socket_base::receive_buffer_size(m_pace.receive_buffer), ec);
        if (m_pace.segment > 0) {
            (void)::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &m_pace.segment,
                               sizeof m_pace.segment);
        }
        co_await m_socket.async_connect(endpoint.value(), net::store_error(ec));
        if (!ec) {
            co_await net::asio::async_write(m_socket, net::asio::buffer(m_request),
                                            net::store_error(ec));
        }
        m_has_sent = true;
        if (!ec) {
            co_await read();
        }
    }
    m_has_ended = true;
}

net::task<> slow_reader::read() {
    net::response_parser parser({.max_body_bytes = max_body_bytes});
    net::io_error ec;
    std::string buffer(m_pace.bytes_at_once, '\0');
    std::string unparsed;
    while (!ec && !m_is_closed && !parser.complete()) {
        if (buffer.empty()) {
            // The kernel's buffer fills; only the end of the connection is waited for.
            co_await m_socket.async_wait(net::tcp::socket::wait_error, net::store_error(ec));
            co_return;
        }
        const std::size_t got =
            co_await m_socket.async_read_some(net::asio::buffer(buffer), net::store_error(ec));
        m_bytes += got;
        unparsed.append(buffer, 0, got);
        std::size_t used = 1;
        while (used > 0 && !unparsed.empty()) {
            used = parser.feed(unparsed);
            unparsed.erase(0, used);
        }
        m_status = parser.has_head() ? parser.message().status : m_status;
        parser.message().body.clear();
        if (!ec && !parser.complete()) {
            const bool is_first = m_bytes == got;
            co_await net::sleep_for(is_first ? std::max(m_pace.first_interval, m_pace.interval)
                                             : m_pace.interval);
        }
    }
    m_is_complete = parser.complete();
}

} // namespace eelgrassdoor::test
