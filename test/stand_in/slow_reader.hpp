/// \file
/// Defines a client that sends one request and takes its response at a pace of its own.
#pragma once

#include "net/tcp_connection.hpp"

#include <cstddef>
#include <string>

namespace eelgrassdoor::test {

/// How a client takes bytes off its connection.
struct reading_pace {
    /// Size of the kernel's receive buffer.
    int receive_buffer = 8 * 1024;
    /// Bytes that are taken at a time; 0 for a client that reads nothing.
    std::size_t bytes_at_once = 0;
    duration interval = milliseconds(500);
    /// The interval after the first read, if it is longer.
    duration first_interval{};
    /// Largest segment, in bytes; 0 for the network's.
    int segment = 1460;
};

/// Sends one request and reads the response. Runs on the event loop's thread and must outlive
/// run().
class slow_reader {
public:
    slow_reader(net::asio::any_io_executor executor, std::string endpoint, std::string request,
                reading_pace pace);
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;

    /// Connects, sends the request, and reads until the response is complete, the connection ends,
    /// or close() is called.
    net::task<> run();
    /// Closes the connection, even one that is still waited for.
    void close();

    /// Whether the request was sent, or could not be.
    [[nodiscard]] bool has_sent() const { return m_has_sent || m_has_ended; }
    /// Whether the connection has ended or the response is complete.
    [[nodiscard]] bool has_ended() const { return m_has_ended; }
    /// Status of the response; 0 before its head has been read.
    [[nodiscard]] int status() const { return m_status; }
    /// Whether the whole response has been read.
    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    /// Bytes that were read.
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    net::task<> read();

    net::tcp::socket m_socket;
    std::string m_endpoint;
    std::string m_request;
    reading_pace m_pace;
    bool m_has_sent = false;
    bool m_has_ended = false;
    bool m_is_complete = false;
    bool m_is_closed = false;
    int m_status = 0;
    std::size_t m_bytes = 0;
};

} // namespace eelgrassdoor::test
