/// \file
/// Defines a TCP connection on the event loop with a deadline on everything that waits.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// One connection. Every wait ends at the deadline, at which the connection closes itself; a
/// connection that something between the two ends has forgotten is found by keep-alive probes.
/// Belongs to the event loop's thread.
class tcp_connection : public std::enable_shared_from_this<tcp_connection> {
public:
    explicit tcp_connection(tcp::socket socket);
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    /// Connects; the error tells why not.
    task<io_error> connect(tcp::endpoint peer);
    /// Waits for bytes and adds them to input(). asio::error::eof when the peer has closed.
    task<io_error> read_more();
    /// Writes all of \p bytes, which must stay valid until then.
    task<io_error> write(std::string_view bytes);

    /// Everything that still waits at \p deadline ends with the connection.
    void set_deadline(time_point deadline);
    [[nodiscard]] bool timed_out() const { return m_timed_out; }
    void close();
    /// Closes so that the peer sees a reset instead of an end that could look regular.
    void reset();
    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    [[nodiscard]] asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Bytes that were read and not used yet.
    std::string& input() { return m_input; }
    /// Whether bytes or the end of the connection have arrived, which must not be so on an idle
    /// connection that is to be used for a request.
    [[nodiscard]] bool has_unexpected_input();

    /// Calls \p on_closed once when the peer closes the connection while nothing is being read.
    /// Bytes that arrive meanwhile go to input(). Ends with stop_watching(); another call replaces
    /// the function.
    void watch_for_close(std::function<void()> on_closed);
    void stop_watching();

private:
    void arm_timer();
    void arm_close_watch();
    /// Reads what has arrived without waiting.
    io_error read_available();

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    time_point m_deadline = time_point::max();
    bool m_timer_armed = false;
    bool m_timed_out = false;
    std::string m_input;
    std::function<void()> m_on_closed;
    /// Tells the handler of an earlier watch that it is obsolete.
    std::uint64_t m_watch_generation = 0;
};

} // namespace eelgrassdoor::net
