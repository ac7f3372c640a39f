/// \file
/// Defines a target whose responses are given byte by byte, so that they may be malformed, cut off
/// or reset.
#pragma once

#include "net/http_message.hpp"
#include "net/tcp_connection.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassdoor::test {

/// A server that reads one request per connection, sends the bytes that a function returns for it,
/// and ends the connection. Before the request it answers questions for its report.
class raw_target {
public:
    struct response {
        std::string bytes;
        /// Whether the connection ends with a TCP reset rather than a regular close.
        bool reset = false;
        /// Sent again and again after the bytes, until the caller closes, unless it is empty.
        std::string endless_tail = {};
    };
    using responder = std::function<response(const net::http_request&)>;

    explicit raw_target(net::asio::any_io_executor executor);

    /// Listens on endpoint(). Must be called once.
    void start();
    /// Sets the function that is called for each complete request.
    void set_responder(responder respond) { m_respond = std::move(respond); }
    /// Start time that the target reports, as in its entry.
    void set_started_at(std::uint64_t started_at) { m_started_at = started_at; }
    /// The loopback `IP:PORT` of the target.
    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }
    /// Number of complete requests that were received.
    [[nodiscard]] int received() const { return m_received; }
    /// Number of bytes of endless tails that were handed to the kernel.
    [[nodiscard]] std::size_t tail_bytes() const { return m_tail_bytes; }
    /// Number of endless responses whose caller has not closed yet.
    [[nodiscard]] int endless_responses() const { return m_endless_responses; }

private:
    net::task<> accept_loop();
    net::task<> serve(std::shared_ptr<net::tcp_connection> connection);
    /// Nothing when the connection ends before a complete request.
    static net::task<std::optional<net::http_request>>
    read_request(std::shared_ptr<net::tcp_connection> connection);
    net::task<> send_endlessly(net::tcp_connection& connection, std::string_view tail);

    std::string m_endpoint;
    net::tcp::acceptor m_acceptor;
    responder m_respond;
    std::uint64_t m_started_at = 1;
    int m_received = 0;
    std::size_t m_tail_bytes = 0;
    int m_endless_responses = 0;
};

} // namespace eelgrassdoor::test
