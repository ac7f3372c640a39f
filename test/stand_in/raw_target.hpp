/// \file
/// Defines a target whose responses are given byte by byte, so that they may be malformed, cut off
/// or reset.
#pragma once

#include "net/http_message.hpp"
#include "net/tcp_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrassdoor::test {

/// What a target does with a connection over which it has sent a report, without saying so in it.
enum class after_report {
    /// Takes a request on it.
    keep,
    /// Closes it in order at once.
    close,
    /// Closes it in order, or resets it, when a request arrives on it, which it does not run.
    close_at_request,
    reset_at_request,
};

/// A server that reads one request per connection, sends the bytes that a function returns for it,
/// and ends the connection. Before the request it answers questions for its report.
class raw_target {
public:
    struct response {
        std::string bytes;
        /// Whether the connection ends with a TCP reset rather than a regular close.
        bool reset = false;
        /// Sent again and again after the bytes, until the caller closes, unless it is empty.
        std::string endless_tail = {};
        /// Whether end() is called after the bytes.
        bool ends_process = false;
        /// Whether end_connections() is called after the bytes.
        bool ends_connections = false;
        /// How long the connection stays open after the bytes.
        duration end_delay = {};
        /// The connection also stays open while this returns true, unless it is empty.
        std::function<bool()> is_held = {};
        /// Called before the connection ends, unless it is empty.
        std::function<void()> at_end = {};
        /// Whether the sending side is closed right after the bytes, in order.
        bool half_closes = false;
    };
    using responder = std::function<response(const net::http_request&)>;

    explicit raw_target(net::asio::any_io_executor executor);

    /// Listens on endpoint(). May be called again after end().
    void start();
    /// Ends as a process that is killed: the kernel closes its connections regularly, in the middle
    /// of responses too, and refuses new ones.
    void end();
    /// Ends all connections regularly, as something between the target and its callers may do. The
    /// target goes on accepting new ones.
    void end_connections();
    /// The same for the connections on which a request has arrived.
    void end_busy_connections();
    /// Ends one of the connections on which no request has arrived, if there is one.
    void end_idle_connection();
    /// Sets the function that is called at the end of end().
    void set_on_ended(std::function<void()> on_ended) { m_on_ended = std::move(on_ended); }
    /// Sets the function that is called for each request.
    void set_responder(responder respond) { m_respond = std::move(respond); }
    /// Sets the function that chooses by their heads to which requests the target responds at once,
    /// leaving the rest of their bodies unread. It may be called several times for a request.
    void set_responds_early(std::function<bool(const net::http_request&)> choose) {
        m_responds_early = std::move(choose);
    }
    /// Start time that the target reports, as in its entry.
    void set_started_at(std::uint64_t started_at) { m_started_at = started_at; }
    [[nodiscard]] std::uint64_t started_at() const { return m_started_at; }
    /// Sets the function that returns the answer to each question for the report, of which only
    /// `bytes` and `reset` are used. The connection ends after an empty answer and after one with
    /// `Connection: close`.
    void set_report(std::function<response()> report) { m_report = std::move(report); }
    /// Returns the usual answer to a question for the report.
    [[nodiscard]] response make_report() const;
    /// Sets what happens to connections after the report.
    void set_after_report(after_report what) { m_after_report = what; }
    /// How long the target is silent before it answers a question for its report.
    void set_report_delay(duration delay) { m_report_delay = delay; }
    /// Limit of open connections; further ones are reset.
    void set_connection_limit(std::size_t limit) { m_connection_limit = limit; }
    /// The loopback `IP:PORT` of the target.
    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }
    /// Number of requests that were received, but for questions for the report.
    [[nodiscard]] int received() const { return m_received; }
    /// Number of further requests whose connections ended at their arrival because of
    /// set_after_report().
    [[nodiscard]] int dropped() const { return m_dropped; }
    /// Number of bytes of endless tails that were handed to the kernel.
    [[nodiscard]] std::size_t tail_bytes() const { return m_tail_bytes; }
    /// Number of endless responses whose caller has not closed yet.
    [[nodiscard]] int endless_responses() const { return m_endless_responses; }

private:
    net::task<> accept_loop();
    net::task<> serve(std::shared_ptr<net::tcp_connection> connection);
    /// Nothing when the connection ends before a complete request, or before a complete head if the
    /// target responds early.
    net::task<std::optional<net::http_request>>
    read_request(std::shared_ptr<net::tcp_connection> connection);
    /// Answers a question for the report. Returns false when the connection has ended.
    net::task<bool> send_report(std::shared_ptr<net::tcp_connection> connection);
    net::task<> respond(std::shared_ptr<net::tcp_connection> connection,
                        const net::http_request& request);
    net::task<> send_endlessly(net::tcp_connection& connection, std::string_view tail);

    std::string m_endpoint;
    net::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<net::tcp_connection>> m_connections;
    /// Those of them on which a request has arrived.
    std::set<std::shared_ptr<net::tcp_connection>> m_busy_connections;
    responder m_respond;
    std::function<void()> m_on_ended;
    std::function<response()> m_report;
    std::uint64_t m_started_at = 1;
    after_report m_after_report = after_report::keep;
    duration m_report_delay{};
    std::function<bool(const net::http_request&)> m_responds_early = [](const net::http_request&) {
        return false;
    };
    std::size_t m_connection_limit = std::numeric_limits<std::size_t>::max();
    int m_received = 0;
    int m_dropped = 0;
    std::size_t m_tail_bytes = 0;
    int m_endless_responses = 0;
};

} // namespace eelgrassdoor::test
