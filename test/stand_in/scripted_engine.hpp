/// \file
/// Defines an engine of the users' platform whose behaviour tests script.
#pragma once

#include "net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrassdoor::test {

/// What an engine does with one request.
enum class engine_action {
    /// Answers with all events.
    serve,
    /// Says that it did not run the request.
    refuse,
    /// Stops in the middle of an event.
    truncate,
    /// Takes the request and never answers.
    hang,
    /// Answers 500.
    fail,
    /// Answers 422: the request can never be done.
    unprocessable,
    /// Answers with the id of another request first.
    respond_with_wrong_id_first,
};

/// A listening engine. Its streams have events 1 to events() with the data `eN`.
class scripted_engine {
public:
    scripted_engine(net::asio::any_io_executor executor, std::string endpoint);

    /// The next requests are treated so; afterwards it serves.
    void enqueue(engine_action action) { m_script.push_back(action); }
    void clear_script() { m_script.clear(); }
    void set_events(std::uint64_t events) { m_events = events; }
    /// Whether its answers say that it leaves.
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// Time between two events.
    void set_event_interval(duration interval) { m_event_interval = interval; }

    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }
    /// Heads of all requests that arrived.
    [[nodiscard]] const std::deque<net::http_request>& received() const { return m_received; }
    /// Requests that it works on now.
    [[nodiscard]] int running() const { return m_running; }
    /// Requests whose caller closed the connection before the end.
    [[nodiscard]] int disconnects() const { return m_disconnects; }

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<> serve(net::server_exchange& exchange, bool truncate);
    net::task<> hang(net::server_exchange& exchange);
    net::http_response make_head(int status, const net::http_request& request) const;

    net::asio::any_io_executor m_executor;
    std::string m_endpoint;
    std::unique_ptr<net::http_server> m_server;
    std::deque<engine_action> m_script;
    std::deque<net::http_request> m_received;
    std::uint64_t m_events = 5;
    duration m_event_interval = milliseconds(1);
    bool m_leaving = false;
    int m_running = 0;
    int m_disconnects = 0;
};

/// An address on the loopback that nobody listens on.
std::string free_endpoint(net::asio::any_io_executor executor);

} // namespace eelgrassdoor::test
