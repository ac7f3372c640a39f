/// \file
/// Defines the HTTP listener and what a handler does with one request.
#pragma once

#include "base/error.hpp"
#include "net/http_parser.hpp"
#include "net/tcp_connection.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace eelgrassdoor::net {

/// Bounds on what a caller may send and how long it may take.
struct client_limits {
    parse_limits sizes;
    duration header_timeout = seconds(3);
    /// How long a connection may stay without a request.
    duration idle_timeout = seconds(15);

    bool operator==(const client_limits&) const = default;
};

/// One request that a caller waits for. The handler answers it once.
class server_exchange {
public:
    server_exchange(std::shared_ptr<tcp_connection> connection, http_request request,
                    time_point received_at, bool close_after)
        : m_connection(std::move(connection)), m_request(std::move(request)),
          m_received_at(received_at), m_close_after(close_after) {}

    [[nodiscard]] const http_request& request() const { return m_request; }
    http_request& request() { return m_request; }
    [[nodiscard]] time_point received_at() const { return m_received_at; }

    /// Answers with a whole response. An error means that the caller has gone.
    task<bool> respond(http_response response);
    /// Starts a response whose length is not known. False when the caller has gone.
    task<bool> begin(http_response head);
    /// Sends a part of the body that begin() has started.
    task<bool> write(std::string data);
    /// Ends the body that begin() has started.
    task<bool> finish();
    /// Breaks the response off, so that it cannot look complete.
    void abort();

    /// Calls \p on_disconnect when the caller closes its connection before it is answered.
    void on_client_disconnect(std::function<void()> on_disconnect);
    [[nodiscard]] bool client_disconnected() const { return m_client_disconnected; }

    [[nodiscard]] bool answered() const { return m_finished; }
    /// Whether the connection may carry another request.
    [[nodiscard]] bool reusable() const;

private:
    task<bool> send(std::string bytes);

    std::shared_ptr<tcp_connection> m_connection;
    http_request m_request;
    time_point m_received_at;
    bool m_close_after;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_client_disconnected = false;
};

using request_handler = std::function<task<>(server_exchange&)>;

struct http_server_options {
    /// `IP:PORT` on which the server listens.
    std::string endpoint;
    /// Bounds in force now; they are configuration and may change.
    std::function<client_limits()> limits = [] { return client_limits(); };
    /// Connections that may be open at a time; more are closed at once.
    std::size_t max_connections = 3000;
    /// How long a caller may leave written bytes unread.
    duration write_timeout = seconds(5);
};

/// Listens on one port and runs the handler for each request, one after the other on a connection.
class http_server {
public:
    http_server(asio::any_io_executor executor, http_server_options options,
                request_handler handler);

    result<void> start();
    /// From now on every response ends its connection.
    void close_connections_after_response() { m_closing = true; }
    /// Stops listening and closes the connections that carry no request. Requests in hand go on;
    /// one that is still being read is refused.
    void stop();
    /// Requests that were read completely and not answered yet.
    [[nodiscard]] std::size_t active_requests() const { return m_active; }
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

private:
    task<> accept_loop();
    task<> serve(std::shared_ptr<tcp_connection> connection);
    task<bool> serve_request(const std::shared_ptr<tcp_connection>& connection);
    task<bool> read_request(const std::shared_ptr<tcp_connection>& connection,
                            request_parser& parser, const client_limits& limits);
    task<> reject(const std::shared_ptr<tcp_connection>& connection, int status);

    asio::any_io_executor m_executor;
    http_server_options m_options;
    request_handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<tcp_connection>> m_connections;
    std::set<std::shared_ptr<tcp_connection>> m_idle;
    std::size_t m_active = 0;
    bool m_closing = false;
    bool m_stopped = false;
};

} // namespace eelgrassdoor::net
