/// \file
/// Defines the HTTP listener with bounds on callers, times and sizes.
#pragma once

#include "base/clock.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace eelgrassdoor::http {

/// The bounds of a listener.
struct server_options {
    std::string address = "127.0.0.1";
    int port = 0;
    /// Connections that are served at a time; more wait for a thread.
    std::size_t max_connections = 512;
    /// Connections beyond max_connections that are served to answer probes and to refuse others.
    std::size_t reserve_connections = 16;
    duration keep_alive_timeout = seconds(5);
    duration read_timeout = seconds(5);
    std::size_t max_body_bytes = 1U << 20U;
};

/// An HTTP listener on one port. Routes are added to raw() before start().
class server {
public:
    explicit server(server_options options);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    httplib::Server& raw() { return *m_server; }
    /// Binds and listens on a thread of its own; returns false when the port is taken.
    bool start();
    /// Ends the listener after the requests in hand.
    void stop();
    /// Whether more connections are open than callers may have.
    [[nodiscard]] bool over_limit() const;
    /// Whether so many connections are open that idle ones should close.
    [[nodiscard]] bool near_limit() const;
    [[nodiscard]] std::size_t connections() const { return *m_connections; }

private:
    const server_options m_options;
    std::shared_ptr<std::atomic<std::size_t>> m_connections;
    std::unique_ptr<httplib::Server> m_server;
    int m_listener = -1;
    std::thread m_thread;
};

} // namespace eelgrassdoor::http
