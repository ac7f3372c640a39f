#include "http/guarded_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace eelgrassdoor::http {

namespace {

/// All lines of a head; the library bounds each to 8 KiB.
constexpr std::size_t max_head_bytes = 64U << 10U;
/// Most that is dropped of a body over the limit before the connection is closed.
constexpr std::size_t max_drain_bytes = 16U << 20U;
/// How often an idle connection looks whether the server stops.
constexpr duration idle_poll_interval = milliseconds(100);

void name_of(const sockaddr_in& address, std::string& ip, int& port) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

guarded_stream::guarded_stream(socket_t socket, stream_limits limits, request_intake& intake,
                               const void* group, std::function<bool()> stopping)
    : m_socket(socket), m_limits(limits), m_intake(intake), m_group(group),
      m_stopping(std::move(stopping)) {}

bool guarded_stream::begin_request(duration timeout) {
    m_body.reset();
    m_head_bytes = 0;
    m_refused = refusal::none;
    for (duration waited{}; m_begin == m_end; waited += idle_poll_interval) {
        if (m_stopping() || waited >= timeout) {
            return false;
        }
        if (wait(POLLIN, idle_poll_interval)) {
            break;
        }
    }
    m_entry.emplace(m_intake, m_group, [s = m_socket] { ::shutdown(s, SHUT_RD); });
    return true;
}

void guarded_stream::begin_body(const httplib::Request& request) {
    const std::string encoding = request.get_header_value("Content-Encoding");
    const std::string length = request.get_header_value("Content-Length");
    if (!encoding.empty() && strcasecmp(encoding.c_str(), "identity") != 0) {
        // The library would decompress the body into memory that no limit bounds.
        m_refused = refusal::encoded;
    }
    // The library goes by the first field of each name, and by the length only without chunks.
    if (strcasecmp(request.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0) {
        m_body = body_meter::chunked();
        return;
    }
    const std::uint64_t bytes = std::strtoull(length.c_str(), nullptr, 10);
    m_body = body_meter::of_length(bytes);
    if (bytes > m_limits.max_body_bytes) {
        m_refused = refusal::too_large;
    }
    if (m_body->current() == body_meter::state::complete) {
        m_entry->complete();
    }
}

bool guarded_stream::end_request() {
    m_entry.reset();
    return m_refused == refusal::none && m_body && m_body->current() == body_meter::state::complete;
}

duration guarded_stream::time_left() const {
    duration allowed = m_limits.head_time;
    if (m_body) {
        allowed = m_limits.body_time + seconds(m_body->content_bytes() / m_limits.least_rate);
    }
    return allowed - m_entry->age();
}

bool guarded_stream::fill() {
    const duration left = time_left();
    const bool ready = left > duration{} && wait(POLLIN, std::min(left, m_limits.io_timeout));
    if (!ready) {
        m_refused = refusal::too_slow;
        return false;
    }
    const ssize_t n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    m_begin = 0;
    m_end = n > 0 ? static_cast<std::size_t>(n) : 0;
    if (m_entry->has_yielded()) {
        m_refused = refusal::crowded;
        m_end = 0;
    }
    return m_end > 0;
}

ssize_t guarded_stream::read(char* out, std::size_t size) {
    if (m_body && m_body->current() == body_meter::state::complete) {
        return 0;
    }
    if (m_refused == refusal::too_large || m_refused == refusal::encoded) {
        drain();
    }
    if (m_refused != refusal::none || (m_begin == m_end && !fill())) {
        return -1;
    }
    const std::size_t n = std::min(size, m_end - m_begin);
    check({m_buffer.data() + m_begin, n});
    if (m_refused == refusal::too_large) {
        drain();
    }
    if (m_refused != refusal::none) {
        return -1;
    }
    std::memcpy(out, m_buffer.data() + m_begin, n);
    m_begin += n;
    return static_cast<ssize_t>(n);
}

void guarded_stream::check(std::string_view bytes) {
    if (!m_body) {
        m_head_bytes += bytes.size();
        if (m_head_bytes > max_head_bytes) {
            m_refused = refusal::head_too_large;
        }
        return;
    }
    const std::uint64_t before = m_body->content_bytes();
    m_body->feed(bytes);
    if (m_body->current() == body_meter::state::malformed) {
        m_refused = refusal::malformed;
    } else if (m_body->content_bytes() > m_limits.max_body_bytes) {
        m_refused = refusal::too_large;
    } else {
        if (m_body->current() == body_meter::state::complete) {
            m_entry->complete();
        }
        if (!m_entry->add(m_body->content_bytes() - before)) {
            m_refused = refusal::crowded;
        }
    }
}

void guarded_stream::drain() {
    const refusal reason = m_refused;
    while (m_body->current() == body_meter::state::reading &&
           m_body->content_bytes() <= m_limits.max_body_bytes + max_drain_bytes) {
        if (m_begin == m_end && !fill()) {
            break;
        }
        m_body->feed({m_buffer.data() + m_begin, m_end - m_begin});
        m_begin = m_end;
    }
    m_refused = reason;
}

bool guarded_stream::is_writable() const {
    if (!wait(POLLOUT, m_limits.io_timeout)) {
        return false;
    }
    if (m_refused != refusal::none || !wait(POLLIN, duration{})) {
        return true;
    }
    // A client that has gone shows as an end of input; one that has yielded does too.
    char next = 0;
    return ::recv(m_socket, &next, 1, MSG_PEEK) > 0;
}

ssize_t guarded_stream::write(const char* text, std::size_t size) {
    if (!is_writable()) {
        return -1;
    }
    return ::send(m_socket, text, size, MSG_NOSIGNAL);
}

bool guarded_stream::wait(short events, duration timeout) const {
    pollfd waiting{m_socket, events, 0};
    const auto ms = std::chrono::ceil<milliseconds>(timeout).count();
    return ::poll(&waiting, 1, static_cast<int>(ms)) > 0;
}

void guarded_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    name_of(address, ip, port);
}

void guarded_stream::get_local_ip_and_port(std::string& ip, int& port) const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    name_of(address, ip, port);
}

} // namespace eelgrassdoor::http
