#include "net/tcp_connection.hpp"

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace eelgrassdoor::net {

namespace {

/// Keep-alive probes detect a dead connection within idle + count * interval = 3 s, because the
/// platform considers a host recovered 3 s after its connections went silent.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_count = 2;
/// Size of the read buffer, which all connections of a thread share because reads never overlap.
constexpr std::size_t read_buffer_bytes = 64 * 1024;
/// Limit of bytes that are taken from a peer while its previous request is being handled. Counted
/// in the cost of every connection.
constexpr std::size_t max_pipelined_bytes = 8 * 1024;

std::array<char, read_buffer_bytes>& read_buffer() {
    thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

void set_option(int socket, int level, int name, int value) {
    // Failures are ignored: the options only shorten timeouts, and the deadlines still apply.
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

void set_options(tcp::socket& socket) {
    const int handle = socket.native_handle();
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keepalive_count);
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    io_error ignored;
    socket.non_blocking(true, ignored);
}

/// The state of the kernel's connection; TCP_ESTABLISHED if it can't be told.
int tcp_state(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool is_known = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return is_known ? info.tcpi_state : static_cast<int>(TCP_ESTABLISHED);
}

/// Bytes that were written and are not acknowledged; 0 if that can't be told.
std::size_t unacknowledged_bytes(int socket) {
    int bytes = 0;
    const bool is_known = ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return is_known ? static_cast<std::size_t>(bytes) : 0;
}

send_state read_send_state(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    send_state state{.awaits_acknowledgement = info.tcpi_unacked > 0 || info.tcpi_probes > 0};
    // Kernels that do not report the time leave it at 0. One that does tells at the next check.
    if (info.tcpi_last_ack_recv > 0) {
        state.since_acknowledgement = milliseconds(info.tcpi_last_ack_recv);
    }
    return state;
}

/// Whether a connection that this side has not closed was reset, also when another operation has
/// already received the error.
bool was_reset(int socket) {
    return tcp_state(socket) == TCP_CLOSE;
}

/// Appends at most \p limit available bytes to \p input without waiting. Returns
/// asio::error::would_block when there are none.
io_error read_into(tcp::socket& socket, std::string& input, std::size_t limit) {
    io_error ec;
    const std::size_t count = socket.read_some(
        asio::buffer(read_buffer().data(), std::min(limit, read_buffer_bytes)), ec);
    if (!ec) {
        input.append(read_buffer().data(), count);
    }
    // The kernel reports a reset only once. When a write has received it, reads see a regular end.
    if (ec == asio::error::eof && was_reset(socket.native_handle())) {
        return asio::error::connection_reset;
    }
    return ec;
}

} // namespace

tcp_connection::tcp_connection(tcp::socket socket)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
      m_path_timer(m_socket.get_executor()) {
    if (m_socket.is_open()) {
        set_options(m_socket);
    }
}

task<io_error> tcp_connection::connect(tcp::endpoint peer) {
    io_error ec;
    m_socket.open(peer.protocol(), ec);
    if (ec) {
        co_return ec;
    }
    set_options(m_socket);
    co_await m_socket.async_connect(peer, store_error(ec));
    co_return ec;
}

task<io_error> tcp_connection::read_more() {
    io_error ec;
    for (;;) {
        co_await m_socket.async_wait(tcp::socket::wait_read, store_error(ec));
        if (ec) {
            co_return ec;
        }
        ec = read_available();
        if (ec != asio::error::would_block) {
            co_return ec;
        }
    }
}

io_error tcp_connection::read_available() {
    return read_into(m_socket, m_input, read_buffer_bytes);
}

task<io_error> tcp_connection::write(std::string_view bytes) {
    io_error ec;
    while (!bytes.empty() && !ec) {
        const std::size_t written = co_await m_socket.async_write_some(
            asio::buffer(bytes.data(), bytes.size()), store_error(ec));
        m_written += written;
        bytes.remove_prefix(written);
        watch_path();
    }
    co_return ec;
}

void tcp_connection::shut_down_sending() {
    io_error ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

bool tcp_connection::write_now(std::string_view bytes) {
    return write_available(bytes) == bytes.size();
}

std::size_t tcp_connection::write_available(std::string_view bytes) {
    io_error ec;
    const std::size_t written = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
    m_written += written;
    watch_path();
    return ec ? 0 : written;
}

std::size_t tcp_connection::acknowledged_bytes() {
    return m_written - std::min(m_written, unacknowledged_bytes(m_socket.native_handle()));
}

void tcp_connection::watch_path() {
    if (m_path_watched || !m_socket.is_open()) {
        return;
    }
    m_path_watched = true;
    // On a common grid the checks of all connections take one wake-up.
    const duration now = asio::steady_timer::clock_type::now().time_since_epoch();
    m_path_timer.expires_at(time_point((now / path_watch::interval + 1) * path_watch::interval));
    m_path_timer.async_wait([weak = weak_from_this()](const io_error& ec) {
        const std::shared_ptr<tcp_connection> self = weak.lock();
        if (!ec && self) {
            self->m_path_watched = false;
            self->check_path();
        }
    });
}

void tcp_connection::check_path() {
    const int handle = m_socket.native_handle();
    const bool is_pending = m_socket.is_open() && unacknowledged_bytes(handle) > 0;
    send_state state = is_pending ? read_send_state(handle) : send_state{};
    state.acknowledged_bytes = acknowledged_bytes();
    if (m_path_watch.is_dead(state, asio::steady_timer::clock_type::now())) {
        m_path_is_dead = true;
        const std::function<void()> notify = std::exchange(m_on_closed, nullptr);
        reset();
        if (notify) {
            notify();
        }
    } else if (is_pending) {
        watch_path();
    }
}

void tcp_connection::set_deadline(time_point deadline) {
    const bool earlier = deadline < m_deadline;
    m_deadline = deadline;
    m_renew_deadline = nullptr;
    if (deadline == time_point::max()) {
        return;
    }
    // The timer handler applies a later deadline when it runs, which saves a system call here.
    if (!m_timer_armed || earlier) {
        arm_timer();
    }
}

void tcp_connection::set_renewable_deadline(std::function<time_point()> deadline) {
    set_deadline(deadline());
    m_renew_deadline = std::move(deadline);
}

void tcp_connection::arm_timer() {
    m_timer_armed = true;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const io_error& ec) {
        const std::shared_ptr<tcp_connection> self = weak.lock();
        if (ec || !self) {
            return;
        }
        self->m_timer_armed = false;
        if (self->m_deadline == time_point::max()) {
            return;
        }
        const time_point now = asio::steady_timer::clock_type::now();
        if (now >= self->m_deadline && self->m_renew_deadline) {
            self->m_deadline = self->m_renew_deadline();
        }
        if (now < self->m_deadline) {
            self->arm_timer();
            return;
        }
        self->m_timed_out = true;
        self->close();
    });
}

void tcp_connection::close() {
    io_error ignored;
    m_socket.close(ignored);
    m_timer.cancel(ignored);
    m_timer_armed = false;
    m_path_timer.cancel(ignored);
}

void tcp_connection::reset() {
    io_error ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

bool tcp_connection::has_unexpected_input() {
    if (!m_input.empty()) {
        return true;
    }
    char byte = 0;
    const ssize_t got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

peer_state tcp_connection::peer() {
    char byte = 0;
    const int handle = m_socket.native_handle();
    const ssize_t got = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got == 0) {
        return was_reset(handle) ? peer_state::broken : peer_state::closed;
    }
    const bool has_failed = got < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    return has_failed ? peer_state::broken : peer_state::open;
}

bool tcp_connection::has_peer_ended() {
    const int state = tcp_state(m_socket.native_handle());
    return m_path_is_dead || state == TCP_CLOSE_WAIT || state == TCP_CLOSE;
}

void tcp_connection::watch_for_close(std::function<void()> on_closed) {
    const bool armed = m_on_closed != nullptr;
    m_on_closed = std::move(on_closed);
    if (!armed) {
        arm_close_watch();
    }
}

void tcp_connection::stop_watching() {
    if (!m_on_closed) {
        return;
    }
    m_on_closed = nullptr;
    ++m_watch_generation;
    io_error ignored;
    m_socket.cancel(ignored);
}

void tcp_connection::arm_close_watch() {
    const auto on_ready = [weak = weak_from_this(),
                           generation = m_watch_generation](const io_error& ec) {
        const std::shared_ptr<tcp_connection> self = weak.lock();
        if (ec || !self || generation != self->m_watch_generation || !self->m_on_closed) {
            return;
        }
        const std::size_t room =
            max_pipelined_bytes - std::min(max_pipelined_bytes, self->m_input.size());
        const io_error read = room > 0 ? read_into(self->m_socket, self->m_input, room)
                                       : io_error(asio::error::would_block);
        const bool open = !read || read == asio::error::would_block;
        if (open && self->m_input.size() < max_pipelined_bytes) {
            self->arm_close_watch();
            return;
        }
        if (!open) {
            const std::function<void()> notify = std::exchange(self->m_on_closed, nullptr);
            notify();
        }
    };
    m_socket.async_wait(tcp::socket::wait_read, on_ready);
}

} // namespace eelgrassdoor::net
