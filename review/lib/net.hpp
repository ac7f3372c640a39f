/// \file
/// Defines blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review's scripts.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock_type::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// An address IP:PORT on the loopback network.
struct endpoint {
    std::string ip = "127.0.0.1";
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
    [[nodiscard]] sockaddr_in raw() const {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
        return out;
    }
};

using headers = std::map<std::string, std::string>;

inline std::string lower(std::string text) {
    for (char& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// A request or a response. Header names are in lower case.
struct message {
    /// Method and target of a request.
    std::string method;
    std::string target;
    /// Status of a response; 0 when none came.
    int status = 0;
    headers fields;
    std::string body;
    /// Whether the whole body arrived.
    bool complete = false;

    [[nodiscard]] std::string get(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

/// One TCP connection.
class connection {
public:
    explicit connection(int fd) : m_fd(fd) {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] int fd() const { return m_fd; }
    void close() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

    /// Writes all bytes; false when the peer is gone or \p deadline has passed.
    bool write(std::string_view bytes, std::int64_t deadline_ms = INT64_MAX) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            pollfd wait{m_fd, POLLOUT, 0};
            const std::int64_t left = std::min<std::int64_t>(deadline_ms - now_ms(), 1000);
            if (left <= 0 || m_fd < 0) {
                return false;
            }
            if (::poll(&wait, 1, static_cast<int>(left)) <= 0) {
                continue;
            }
            const ssize_t sent =
                ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
                continue;
            }
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// Reads more bytes into input; false at the end, after an error or at the deadline.
    bool read_more(std::int64_t deadline_ms) {
        for (;;) {
            const std::int64_t left = std::min<std::int64_t>(deadline_ms - now_ms(), 1000);
            if (left <= 0 || m_fd < 0) {
                return false;
            }
            pollfd wait{m_fd, POLLIN, 0};
            if (::poll(&wait, 1, static_cast<int>(left)) <= 0) {
                continue;
            }
            char buffer[65536];
            const ssize_t got = ::recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT);
            if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
                continue;
            }
            if (got <= 0) {
                ended = got == 0;
                return false;
            }
            input.append(buffer, static_cast<std::size_t>(got));
            return true;
        }
    }

    /// Whether the peer has closed the connection (or sent what nobody expects).
    [[nodiscard]] bool peer_closed() const {
        char byte = 0;
        const ssize_t got = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
    }

    std::string input;
    /// Whether the peer ended the connection regularly.
    bool ended = false;

private:
    int m_fd;
};

using connection_ptr = std::shared_ptr<connection>;

/// Connects to \p to; null when that fails within \p timeout_ms.
inline connection_ptr dial(const endpoint& to, std::int64_t timeout_ms = 1000) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in address = to.raw();
    ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd wait{fd, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof failure;
    if (::poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<connection>(fd);
}

/// Reads the head of a message; nothing when it does not arrive.
inline std::optional<message> read_head(connection& from, std::int64_t deadline_ms) {
    std::size_t end = 0;
    while ((end = from.input.find("\r\n\r\n")) == std::string::npos) {
        if (!from.read_more(deadline_ms)) {
            return std::nullopt;
        }
    }
    const std::string head = from.input.substr(0, end + 2);
    from.input.erase(0, end + 4);
    message out;
    std::size_t line_start = head.find("\r\n") + 2;
    const std::string first = head.substr(0, line_start - 2);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (first.rfind("HTTP/", 0) == 0) {
        out.status = std::atoi(first.c_str() + space + 1);
    } else {
        out.method = first.substr(0, space);
        out.target = first.substr(space + 1, second - space - 1);
    }
    while (line_start < head.size()) {
        const std::size_t line_end = head.find("\r\n", line_start);
        const std::size_t colon = head.find(':', line_start);
        if (colon != std::string::npos && colon < line_end) {
            std::size_t value = colon + 1;
            while (value < line_end && head[value] == ' ') {
                ++value;
            }
            out.fields[lower(head.substr(line_start, colon - line_start))] =
                head.substr(value, line_end - value);
        }
        line_start = line_end + 2;
    }
    return out;
}

/// Takes \p count bytes of input, waiting for them; false when they do not arrive.
inline bool take(connection& from, std::size_t count, std::string& out, std::int64_t deadline_ms) {
    while (from.input.size() < count) {
        if (!from.read_more(deadline_ms)) {
            return false;
        }
    }
    out.append(from.input, 0, count);
    from.input.erase(0, count);
    return true;
}

inline bool take_line(connection& from, std::string& out, std::int64_t deadline_ms) {
    std::size_t end = 0;
    while ((end = from.input.find("\r\n")) == std::string::npos) {
        if (!from.read_more(deadline_ms)) {
            return false;
        }
    }
    out = from.input.substr(0, end);
    from.input.erase(0, end + 2);
    return true;
}

/// Reads the body of \p head; head.complete tells whether it is whole.
inline void read_body(connection& from, message& head, std::int64_t deadline_ms,
                      const std::function<void()>& on_part = nullptr) {
    if (lower(head.get("transfer-encoding")) == "chunked") {
        for (;;) {
            std::string line;
            if (!take_line(from, line, deadline_ms)) {
                return;
            }
            const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
            if (size == 0) {
                head.complete = take_line(from, line, deadline_ms);
                return;
            }
            std::string crlf;
            if (!take(from, size, head.body, deadline_ms) || !take(from, 2, crlf, deadline_ms)) {
                return;
            }
            if (on_part) {
                on_part();
            }
        }
    }
    const std::string length = head.get("content-length");
    if (!length.empty()) {
        head.complete =
            take(from, std::strtoull(length.c_str(), nullptr, 10), head.body, deadline_ms);
        return;
    }
    if (head.status == 0) {
        head.complete = true; // A request without a body.
        return;
    }
    while (from.read_more(deadline_ms)) {
    }
    head.body += from.input;
    from.input.clear();
    head.complete = from.ended;
}

inline std::string encode_request(const std::string& method, const std::string& target,
                                  const std::vector<std::pair<std::string, std::string>>& fields,
                                  const std::string& body) {
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

inline std::string
encode_response(int status, const std::string& body,
                const std::vector<std::pair<std::string, std::string>>& fields = {}) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens and runs the handler in a thread for each connection.
class tcp_server {
public:
    using handler = std::function<void(connection_ptr)>;

    /// Port 0 picks a free one.
    tcp_server(endpoint own, handler serve) : m_own(std::move(own)), m_serve(std::move(serve)) {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = m_own.raw();
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_fd, 1024) != 0) {
            throw std::runtime_error("cannot listen on " + m_own.text());
        }
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_own.port = ntohs(address.sin_port);
        std::thread([this] { accept_loop(); }).detach();
    }
    [[nodiscard]] const endpoint& own() const { return m_own; }

private:
    void accept_loop() {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([serve = m_serve, socket = std::make_shared<connection>(fd)] {
                serve(socket);
            }).detach();
        }
    }

    endpoint m_own;
    handler m_serve;
    int m_fd = -1;
};

/// A free TCP port of \p ip.
inline int free_port(const std::string& ip) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = endpoint{ip, 0}.raw();
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot bind to " + ip);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

} // namespace review
