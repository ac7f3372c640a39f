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
enum class engine_act {
    /// Answers with all events.
    serve,
    /// Says that it did not run the request.
    refuse,
    /// Stops in the middle of an event.
    cut,
    /// Takes the request and never answers.
    hang,
    /// Answers 500.
    fail,
    /// Answers 422: the request can never be done.
    impossible,
    /// Answers with the id of another request first.
    answer_other_first,
};

/// A listening engine. Its streams have events 1 to events() with the data `eN`.
class scripted_engine {
public:
    scripted_engine(net::asio::any_io_executor executor, std::string endpoint);

    /// The next requests are treated so; afterwards it serves.
    void then(engine_act act) { m_script.push_back(act); }
    void forget_script() { m_script.clear(); }
    void set_events(std::uint64_t events) { m_events = events; }
    /// Whether its answers say that it leaves.
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// Time between two events.
    void set_pace(duration pace) { m_pace = pace; }

    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }
    /// Heads of all requests that arrived.
    [[nodiscard]] const std::deque<net::http_request>& arrived() const { return m_arrived; }
    /// Requests that it works on now.
    [[nodiscard]] int running() const { return m_running; }
    /// Requests whose caller closed the connection before the end.
    [[nodiscard]] int dropped() const { return m_dropped; }

private:
    net::task<> handle(net::server_exchange& caller);
    net::task<> serve(net::server_exchange& caller, bool cut);
    net::task<> hang(net::server_exchange& caller);
    net::http_response head(int status, const net::http_request& request) const;

    net::asio::any_io_executor m_executor;
    std::string m_endpoint;
    std::unique_ptr<net::http_server> m_server;
    std::deque<engine_act> m_script;
    std::deque<net::http_request> m_arrived;
    std::uint64_t m_events = 5;
    duration m_pace = milliseconds(1);
    bool m_leaving = false;
    int m_running = 0;
    int m_dropped = 0;
};

/// An address on the loopback that nobody listens on.
std::string free_endpoint(net::asio::any_io_executor executor);

} // namespace eelgrassdoor::test
