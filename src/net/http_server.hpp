/// \file
/// Defines the HTTP server and the object by which a handler responds to a request.
#pragma once

#include "base/error.hpp"
#include "net/http_parser.hpp"
#include "net/outgoing_memory.hpp"
#include "net/tcp_connection.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace eelgrassdoor::net {

class request_claim;
class request_memory;

/// Limits on the size and duration of requests.
struct client_limits {
    /// Size limits of requests.
    parse_limits sizes;
    /// Time from the first byte of a request to the end of its headers.
    duration header_timeout = seconds(3);
    /// How long a connection may be idle, and how long a whole body may take to arrive after the
    /// headers.
    duration idle_timeout = seconds(15);

    bool operator==(const client_limits&) const = default;
};

/// One request and its response. The handler responds once, by respond() or by begin(), write() and
/// finish(). A call that does not fit the response so far, such as respond() after begin(), sends
/// nothing, closes the connection and returns false.
class server_exchange {
public:
    /// The response is held in \p memory, if any.
    server_exchange(std::shared_ptr<tcp_connection> connection, http_request request,
                    time_point received_at, bool close_after_response,
                    outgoing_memory* memory = nullptr);
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;
    ~server_exchange() = default;

    [[nodiscard]] const http_request& request() const { return m_request; }
    http_request& request() { return m_request; }
    /// When the request had been received completely.
    [[nodiscard]] time_point received_at() const { return m_received_at; }

    /// Names whom the response is for, in case that it gives way for lack of memory.
    void set_label(response_label label) { m_claim.label = std::move(label); }
    /// Returns how large a response should be that can be made of any size from \p min to \p max
    /// bytes, and announces one of that size.
    std::size_t plan_response(std::size_t min, std::size_t max);
    /// Reserves memory for a response of \p bytes before it is made or fetched. Returns false when
    /// there is no room for it; the request should then be refused.
    [[nodiscard]] bool reserve_response(std::size_t bytes);
    /// Whether reserve_response() has failed.
    [[nodiscard]] bool lacks_memory() const { return m_lacks_memory; }

    /// Sends a complete response. Returns false when the client has disconnected, or when the
    /// response has given way for lack of memory; then the connection has been reset.
    task<bool> respond(http_response response);
    /// Starts a chunked response with the status and headers of \p head. Returns false when the
    /// client has disconnected.
    task<bool> begin(http_response head);
    /// Sends a part of the body. Returns false when the client has disconnected.
    task<bool> write(std::string data);
    /// Ends the body. Returns false when the client has disconnected.
    task<bool> finish();
    /// Closes the connection, so that the client sees an incomplete response unless it was
    /// complete.
    void abort();

    /// Calls \p on_disconnect once when the client closes the connection while the request is being
    /// handled, or when interrupt() is called. Another call replaces the function.
    void on_client_disconnect(std::function<void()> on_disconnect);
    /// Whether the client can receive nothing more: it has disconnected, or interrupt() was called.
    [[nodiscard]] bool client_disconnected() const { return m_client_disconnected; }
    [[nodiscard]] const std::shared_ptr<tcp_connection>& connection() const { return m_connection; }

    /// Declares that the request may be run from now on, here or elsewhere. Until then a response
    /// may tell the client that it was not run.
    void set_may_have_run() { m_may_have_run = true; }
    [[nodiscard]] bool may_have_run() const { return m_may_have_run; }
    /// Ends the request while its handler is still working on it: the client gets \p
    /// final_response, or an incomplete response when one has begun, and the connection is closed.
    /// The handler sees a client that has disconnected. Does nothing once the response has been
    /// handed over by respond() or finish().
    void interrupt(http_response final_response);
    /// What the response holds in the server's memory, if that is limited.
    [[nodiscard]] outgoing_claim& claim() { return m_claim; }
    /// Whether interrupt() has ended the request.
    [[nodiscard]] bool interrupted() const { return m_interrupted; }

    /// Whether the response was sent completely, by respond() or finish().
    [[nodiscard]] bool response_complete() const { return m_state == response_state::complete; }
    /// Whether the connection can carry another request.
    [[nodiscard]] bool reusable() const;

private:
    /// How much of the response has been sent.
    enum class response_state { none, begun, complete };

    task<bool> send(std::string bytes);
    /// Changes the state from \p expected to \p next. In another state, or after abort(), closes
    /// the connection and returns false.
    bool advance(response_state expected, response_state next);

    std::shared_ptr<tcp_connection> m_connection;
    http_request m_request;
    time_point m_received_at;
    bool m_close_after_response;
    response_state m_state = response_state::none;
    std::function<void()> m_on_disconnect;
    bool m_may_have_run = false;
    bool m_interrupted = false;
    bool m_aborted = false;
    bool m_client_disconnected = false;
    bool m_lacks_memory = false;
    outgoing_claim m_claim;
};

/// Handles one request. A request without a complete response is aborted when the handler returns.
using request_handler = std::function<task<>(server_exchange&)>;

/// A response with status 502 to a request that may have been run, and with status 503 to any
/// other.
http_response default_stop_response(bool may_have_run);

/// A response with status 503.
http_response default_memory_response();

/// Options of http_server.
struct http_server_options {
    /// `IP:PORT` on which the server listens.
    std::string endpoint;
    /// Returns the current limits. Called when the first byte of a request has arrived, and for the
    /// time that a connection may be idle, since the configuration may change meanwhile.
    std::function<client_limits()> limits = [] { return client_limits(); };
    /// Limit of open connections. For a further one a response that is hardly read gives way; if
    /// there is none, it is closed when it is accepted.
    std::size_t max_connections = 3000;
    /// Builds the response to a request that the server ends itself because it stops; its argument
    /// says whether the request may have been run.
    std::function<http_response(bool may_have_run)> stop_response = default_stop_response;
    /// Memory that the requests of this and other servers share; null for no limit. Must outlive
    /// the server.
    request_memory* memory = nullptr;
    /// Builds the response to a request that is not run for lack of memory.
    std::function<http_response()> memory_response = default_memory_response;
    /// Memory that the responses of this and other servers share; null for no limit. Must outlive
    /// the server.
    outgoing_memory* responses = nullptr;
};

/// Listens on one port and runs the handler for each request. The requests of one connection are
/// handled one after the other. Must be used on the thread of its event loop.
class http_server {
public:
    http_server(asio::any_io_executor executor, http_server_options options,
                request_handler handler);

    /// Starts to listen. Fails with error_code::invalid_request when the endpoint is malformed, and
    /// with error_code::unavailable when it cannot be bound; then it may be called again.
    result<void> start();
    [[nodiscard]] bool is_listening() const { return m_acceptor.is_open(); }
    /// Closes each connection after the response to its next request.
    void close_connections_after_response() { m_closing = true; }
    /// Stops listening and closes idle connections. Requests in progress are completed; a request
    /// that is still being read, or whose first bytes have arrived, is answered with the stop
    /// response.
    void stop();
    /// Ends every request that a handler is working on with the stop response; see
    /// server_exchange::interrupt(). Its handler still has to return.
    void interrupt_requests();
    /// Closes all connections, whatever is going on there, as the end of the process does. Call it
    /// after stop().
    void close_connections();
    /// Number of requests that the handler is working on.
    [[nodiscard]] std::size_t active_requests() const { return m_active.size(); }
    /// Number of open connections, including idle ones.
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

private:
    task<> accept_loop();
    /// Lets the response give way that its client reads most slowly, if one has been left unread
    /// for a while. Returns whether there was one; its connection closes soon.
    bool free_connection();
    task<> serve(std::shared_ptr<tcp_connection> connection);
    task<bool> serve_request(const std::shared_ptr<tcp_connection>& connection);
    /// Waits for the first byte of a request. Returns false when the connection has ended.
    task<bool> wait_for_request(const std::shared_ptr<tcp_connection>& connection);
    /// Reads the request whose first byte has arrived, as far as \p claim gets memory for it.
    /// Returns false when the connection has ended.
    task<bool> read_request(const std::shared_ptr<tcp_connection>& connection,
                            request_parser& parser, const client_limits& limits,
                            request_claim& claim);
    /// Frees what an incomplete request holds and answers it, without waiting. Its connection
    /// closes once the client has had time to read the answer.
    void give_way(tcp_connection& connection, request_parser& parser);
    /// Reads and drops what the client still sends, up to a bound and the deadline.
    static task<> drain(const std::shared_ptr<tcp_connection>& connection);
    /// Sends \p response and then drops, for a bounded time, what the client still sends.
    task<> reject(const std::shared_ptr<tcp_connection>& connection, http_response response);

    asio::any_io_executor m_executor;
    http_server_options m_options;
    request_handler m_handler;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<tcp_connection>> m_connections;
    std::set<std::shared_ptr<tcp_connection>> m_idle;
    /// The requests that the handler is working on.
    std::set<server_exchange*> m_active;
    bool m_closing = false;
    bool m_stopped = false;
};

} // namespace eelgrassdoor::net
