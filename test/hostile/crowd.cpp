#include "hostile/crowd.hpp"

#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

/// A server that takes no byte for so long is taken to have cut the client off.
constexpr timeval send_bound{.tv_sec = 15, .tv_usec = 0};
/// Below the daemon's read timeout of 5 s, so that a trickling client never looks idle.
constexpr std::chrono::milliseconds trickle_interval{400};

} // namespace

crowd::crowd(int port, client_shape shape) : m_port(port), m_shape(std::move(shape)) {
    for (std::size_t i = 0; i < m_shape.clients; ++i) {
        m_threads.emplace_back([this] { run(); });
    }
}

bool crowd::send_all(int socket, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t n = ::send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

void crowd::run() {
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &send_bound, sizeof send_bound);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool open = ::connect(s, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                send_all(s, m_shape.head);
    for (std::size_t sent = 0; open && sent < m_shape.bytes; sent += m_shape.piece.size()) {
        open = send_all(s, m_shape.piece);
    }
    m_cut += open ? 0 : 1;
    std::unique_lock lock(m_mutex);
    ++m_sent;
    m_changed.notify_all();
    while (!m_stopping) {
        m_changed.wait_for(lock, trickle_interval);
        if (open && !m_shape.trickle.empty()) {
            open = send_all(s, m_shape.trickle);
        }
    }
    lock.unlock();
    ::close(s);
}

void crowd::wait_sent() {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_sent == m_shape.clients; });
}

void crowd::stop() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    for (std::thread& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

} // namespace eelgrassdoor::test
