/// \file
/// A small blocking HTTP/1.1 server and client on loopback sockets, one thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point process_start = steady::now();

/// Milliseconds since this program started.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - process_start)
        .count();
}
inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}
inline void sleep_until(std::int64_t at_ms) {
    sleep_ms(at_ms - now_ms());
}

struct endpoint {
    std::string address;
    int port = 0;
    std::string text() const { return address + ":" + std::to_string(port); }
    sockaddr_in socket_address() const {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, address.c_str(), &out.sin_addr);
        return out;
    }
};

using header_fields = std::vector<std::pair<std::string, std::string>>;

struct message {
    /// Of a request.
    std::string method;
    std::string target;
    /// Of a response; 0 when none was received.
    int status = 0;
    /// Whether the whole response was received.
    bool complete = false;
    header_fields headers;
    std::string body;

    std::string header(std::string_view name) const {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), std::string(name).c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(std::string_view name) const;
};

inline std::string unescape(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

inline std::string message::query(std::string_view name) const {
    const std::size_t start = target.find('?');
    std::string_view rest = start == std::string::npos ? std::string_view()
                                                       : std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos) {
            return unescape(part.substr(equals + 1));
        }
    }
    return {};
}

/// A connected socket.
class connection {
public:
    explicit connection(int fd) : m_fd(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    bool send(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Whether the peer has closed the connection.
    bool is_closed() {
        char byte = 0;
        const ssize_t got = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /// Waits until the peer closes the connection, sending nothing.
    void hold() {
        while (m_fd >= 0 && !is_closed()) {
            char byte = 0;
            if (::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 && !fill(0)) {
                return;
            }
            sleep_ms(20);
        }
    }
    void set_deadline(std::int64_t at_ms) { m_deadline = at_ms; }
    /// Reads a request or a response. A response without length or chunks ends with the connection.
    bool read(message& out, bool is_response) {
        std::size_t head_end = 0;
        while ((head_end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(m_deadline)) {
                return false;
            }
        }
        const std::string head = m_input.substr(0, head_end + 2);
        m_input.erase(0, head_end + 4);
        std::size_t at = head.find("\r\n");
        const std::string first = head.substr(0, at);
        const std::size_t space = first.find(' ');
        const std::size_t second = first.find(' ', space + 1);
        if (is_response) {
            out.status = std::atoi(first.substr(space + 1).c_str());
        } else {
            out.method = first.substr(0, space);
            out.target = first.substr(space + 1, second - space - 1);
        }
        at += 2;
        while (at < head.size()) {
            const std::size_t end = head.find("\r\n", at);
            const std::size_t colon = head.find(':', at);
            std::size_t value = colon + 1;
            while (value < end && head[value] == ' ') {
                ++value;
            }
            out.headers.emplace_back(head.substr(at, colon - at), head.substr(value, end - value));
            at = end + 2;
        }
        out.complete = read_body(out, is_response);
        return is_response || out.complete;
    }

private:
    bool read_body(message& out, bool is_response) {
        if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::size_t line = 0;
                while ((line = m_input.find("\r\n")) == std::string::npos) {
                    if (!fill(m_deadline)) {
                        return false;
                    }
                }
                const std::size_t size = std::stoul(m_input.substr(0, line), nullptr, 16);
                while (m_input.size() < line + 2 + size + 2) {
                    if (!fill(m_deadline)) {
                        out.body += m_input.substr(std::min(m_input.size(), line + 2));
                        return false;
                    }
                }
                out.body += m_input.substr(line + 2, size);
                m_input.erase(0, line + 2 + size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::string length = out.header("Content-Length");
        if (length.empty() && !is_response) {
            return true;
        }
        const std::size_t wanted = length.empty() ? SIZE_MAX : std::stoul(length);
        while (m_input.size() < wanted) {
            if (!fill(m_deadline)) {
                out.body = std::move(m_input);
                m_input.clear();
                return length.empty();
            }
        }
        out.body = m_input.substr(0, wanted);
        m_input.erase(0, wanted);
        return true;
    }
    /// Reads more bytes, until the deadline at most (0: without limit).
    bool fill(std::int64_t deadline) {
        if (deadline > 0) {
            pollfd wait{m_fd, POLLIN, 0};
            const std::int64_t left = std::max<std::int64_t>(0, deadline - now_ms());
            if (::poll(&wait, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char bytes[65536];
        const ssize_t got = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return false;
        }
        m_input.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int m_fd;
    std::int64_t m_deadline = 0;
    std::string m_input;
};

inline std::string to_text(const message& request) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    return out;
}

inline std::string make_response(int status, std::string_view body,
                                 const header_fields& headers = {}) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

/// Sends a request over a new connection and waits up to \p timeout_ms for the whole response.
inline message call(const endpoint& to, const message& request, std::int64_t timeout_ms) {
    message out;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connection link(fd);
    const sockaddr_in address = to.socket_address();
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        return out;
    }
    link.set_deadline(now_ms() + timeout_ms);
    if (!link.send(to_text(request)) || !link.read(out, true)) {
        out.complete = false;
    }
    return out;
}

/// Listens on an endpoint and calls \p handler for each request; it returns whether the connection
/// goes on.
class server {
public:
    using handler_fn = std::function<bool(connection&, const message&)>;

    bool start(const endpoint& at, handler_fn handler) {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = at.socket_address();
        if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_fd, 512) != 0) {
            return false;
        }
        std::thread([this, handler] {
            for (;;) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    continue;
                }
                std::thread([fd, handler] {
                    connection link(fd);
                    for (;;) {
                        message request;
                        if (!link.read(request, false) || !handler(link, request)) {
                            return;
                        }
                    }
                }).detach();
            }
        }).detach();
        return true;
    }

private:
    int m_fd = -1;
};

} // namespace review
