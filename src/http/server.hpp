/// \file
/// Defines an HTTP server with limits on connections, timeouts and body sizes.
#pragma once

#include "base/clock.hpp"
#include "http/request_intake.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace eelgrassdoor::http {

/// Address and limits of a server.
struct server_options {
    std::string address = "127.0.0.1";
    int port = 0;
    /// Connections that are served at a time.
    std::size_t max_connections = 512;
    /// Connections beyond max_connections that are served to respond to probes and to reject other
    /// requests. Any further ones wait for a thread.
    std::size_t reserve_connections = 16;
    /// How long a connection may stay idle between requests.
    duration keep_alive_timeout = seconds(5);
    /// Longest wait for the socket to become readable or writable.
    duration read_timeout = seconds(5);
    std::size_t max_body_bytes = 1U << 20U;
    /// How long the head of a request may take from its first byte.
    duration head_time = seconds(30);
    /// How long a body may take besides the time that its content has at least_rate.
    duration body_time = seconds(60);
    /// Least rate of arrival in bytes per second; the largest body of callers may take 18 hours.
    std::size_t least_rate = 1024;
    /// Bounds the memory of the bodies; null for an account of this server alone.
    std::shared_ptr<request_intake> intake;
    /// JSON body of the 503 that is sent to a connection for which there is no room to wait.
    std::string crowded_body;
};

/// Why the request that this thread is serving could not be read; none outside of a request.
refusal current_refusal();

/// An HTTP server on one port. Handlers are added to raw() before start(); they run on one thread
/// per connection. The destructor calls stop().
class server {
public:
    explicit server(server_options options);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// The server of the HTTP library.
    httplib::Server& raw() { return *m_server; }
    /// Binds the port and starts the accepting thread; returns false when the port cannot be bound.
    bool start();
    /// Stops accepting connections and waits until the requests in progress are done. Must not be
    /// called from a handler.
    void stop();
    /// Whether more than max_connections connections are open.
    [[nodiscard]] bool over_limit() const;
    /// Whether more than three quarters of max_connections are open, so that idle connections
    /// should give up their threads.
    [[nodiscard]] bool near_limit() const;
    /// Number of open connections, including those that wait for a thread.
    [[nodiscard]] std::size_t connections() const { return *m_connections; }

private:
    const server_options m_options;
    const std::shared_ptr<request_intake> m_intake;
    std::shared_ptr<std::atomic<std::size_t>> m_connections;
    std::unique_ptr<httplib::Server> m_server;
    int m_listener = -1;
    std::thread m_thread;
};

} // namespace eelgrassdoor::http
