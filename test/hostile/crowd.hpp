/// \file
/// Defines a crowd of clients that stay outside the limits of a server.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace eelgrassdoor::test {

/// What each client of a crowd does.
struct client_shape {
    std::size_t clients = 1;
    /// The bytes sent first.
    std::string head;
    /// Sent again and again after the head until `bytes` have been sent; none when empty.
    std::string piece;
    std::size_t bytes = 0;
    /// Sent over and over, slowly, for as long as the client stays; none when empty.
    std::string trickle;
};

/// Clients on one thread each, which keep their connections open until stop().
class crowd {
public:
    crowd(int port, client_shape shape);
    ~crowd() { stop(); }
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Waits until every client has sent all its bytes or has been cut off.
    void wait_sent();
    /// Closes all connections.
    void stop();
    /// Clients that the server cut off before they had sent all their bytes.
    [[nodiscard]] std::size_t cut() const { return m_cut; }

private:
    /// Runs one client.
    void run();
    /// Sends \p text; false when the server has cut off the connection or reads no more.
    static bool send_all(int socket, const std::string& text);

    const int m_port;
    const client_shape m_shape;
    std::atomic<std::size_t> m_cut{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_sent = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace eelgrassdoor::test
