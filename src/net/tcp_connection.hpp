/// \file
/// Defines a TCP connection on the event loop with a deadline for all its operations.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"
#include "net/path_watch.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::net {

/// What is known of the other end of a connection.
enum class peer_state {
    /// It has not ended the connection, or bytes of it are still to be read.
    open,
    /// It has closed the connection in order.
    closed,
    /// The connection was reset or has failed.
    broken,
};

/// A connection that closes itself at its deadline, which ends all waiting operations. It fails
/// within three seconds when its path is dead: keep-alive probes notice it while nothing is sent,
/// and a path_watch while bytes wait for their acknowledgement. Must be owned by a
/// std::shared_ptr and used on the thread of its event loop.
class tcp_connection : public std::enable_shared_from_this<tcp_connection> {
public:
    /// \p socket may be connected, or closed for a later connect().
    explicit tcp_connection(tcp::socket socket);
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    /// Connects to \p peer. Returns no error on success.
    task<io_error> connect(tcp::endpoint peer);
    /// Waits for bytes and appends them to input(). Returns asio::error::eof when the peer has
    /// closed the connection.
    task<io_error> read_more();
    /// Writes all of \p bytes, which must stay valid until the operation completes.
    task<io_error> write(std::string_view bytes);

    /// Ends the sending side; the peer reads the end of the connection after the written bytes.
    void shut_down_sending();
    /// Writes \p bytes without waiting. Returns false when the peer's unread bytes leave no room
    /// for all of them, or when the connection has failed; a part may then have been written.
    bool write_now(std::string_view bytes);
    /// Writes as many of \p bytes as there is room for, without waiting, and returns how many. A
    /// connection that has failed takes none; the next operation tells.
    std::size_t write_available(std::string_view bytes);
    /// Number of bytes that were written and that the peer's host has acknowledged.
    [[nodiscard]] std::size_t acknowledged_bytes();

    /// Closes the connection at \p deadline, which replaces an earlier one; time_point::max()
    /// stands for no deadline.
    void set_deadline(time_point deadline);
    /// Like set_deadline(\p deadline()), but calls \p deadline again when that time has come, and
    /// stays open until a later one that it returns. Replaced by set_deadline().
    void set_renewable_deadline(std::function<time_point()> deadline);
    /// Whether the connection was closed by its deadline.
    [[nodiscard]] bool timed_out() const { return m_timed_out; }
    /// Closes the connection; pending operations fail. Further calls have no effect.
    void close();
    /// Closes with a TCP reset, so that the peer does not mistake it for a regular end.
    void reset();
    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    [[nodiscard]] asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Bytes that were received and not consumed yet. The user erases what it consumes.
    std::string& input() { return m_input; }
    /// Whether bytes, an error or the end of the connection have arrived; an idle connection must
    /// then not be reused.
    [[nodiscard]] bool has_unexpected_input();

    /// What the peer has done with the connection so far. Does not wait, and consumes nothing.
    [[nodiscard]] peer_state peer();
    /// Whether the peer has ended the connection, even if bytes of it are still to be read, or the
    /// path to it is dead.
    [[nodiscard]] bool has_peer_ended();

    /// Calls \p on_closed once when the peer closes the connection or it fails. Must not be used
    /// during read_more(). Bytes that arrive meanwhile are appended to input(); once they reach 8
    /// KiB, the watch stops without a call. Another call replaces the function.
    void watch_for_close(std::function<void()> on_closed);
    /// Ends the watch. Also cancels other pending operations of the socket.
    void stop_watching();

private:
    /// Checks the path from the next step of a common grid on, for as long as bytes are
    /// unacknowledged.
    void watch_path();
    void check_path();
    void arm_timer();
    void arm_close_watch();
    /// Reads available bytes without waiting; asio::error::would_block when there are none.
    io_error read_available();

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_path_timer;
    path_watch m_path_watch;
    bool m_path_watched = false;
    bool m_path_is_dead = false;
    time_point m_deadline = time_point::max();
    std::function<time_point()> m_renew_deadline;
    bool m_timer_armed = false;
    bool m_timed_out = false;
    std::string m_input;
    /// Number of bytes that were handed to the kernel.
    std::size_t m_written = 0;
    std::function<void()> m_on_closed;
    /// Incremented when a watch ends, so that its pending handler does nothing.
    std::uint64_t m_watch_generation = 0;
};

} // namespace eelgrassdoor::net
