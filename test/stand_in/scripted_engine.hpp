/// \file
/// Defines a fake engine of the users' platform with scripted behaviour.
#pragma once

#include "net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// How the engine handles one request.
enum class engine_action {
    /// Responds with all events.
    serve,
    /// Responds with the first two events.
    serve_briefly,
    /// Responds with 503 and states that the request was not run.
    refuse,
    /// Closes the connection in the middle of the third event of the response.
    truncate,
    /// Does so for new streams and serves the rest of streams that are resumed.
    truncate_new,
    /// Sends no response. Closes the connection when the client disconnects or after 30 s.
    hang,
    /// Responds with twelve events, one in a tenth of a second.
    serve_slowly,
    /// Responds with a stream whose events do not end before the client disconnects.
    stream_endlessly,
    /// Responds with 500.
    fail,
    /// Responds with 422: the request can never succeed.
    unprocessable,
    /// Sends a response with the id of another request before the proper one.
    respond_with_wrong_id_first,
    /// Sends a refusal of another request before the proper response.
    repeat_refusal_first,
    /// Responds with all events, but is silent for a while after the second one.
    pause,
    /// Responds with all events, but is silent for a while before the response.
    delay,
    /// Sends no response, and closes the connection after a while.
    close_late,
    /// Sends two events and nothing more. Closes the connection as `hang` does.
    hang_in_stream,
};

/// An engine that listens on an endpoint. Its streams have events 1 to N, chosen by set_events(),
/// with data `e1` to `eN` after the prefix of set_event_prefix(); a request with a Last-Event-Id
/// gets only later events.
class scripted_engine {
public:
    scripted_engine(net::asio::any_io_executor executor, std::string endpoint);

    /// Adds the action for one later request. When none is left, requests are served.
    void enqueue(engine_action action) { m_script.push_back(action); }
    void clear_script() { m_script.clear(); }
    /// Sets the function that chooses the action for each request for which none is enqueued.
    void set_default_action(std::function<engine_action(const net::http_request&)> choose) {
        m_default_action = std::move(choose);
    }
    /// Sets the function that is called for each request before it is handled.
    void set_on_request(std::function<void(const net::http_request&)> on_request) {
        m_on_request = std::move(on_request);
    }
    /// Sets the function that chooses which responses with events have neither a length nor chunks
    /// and end with their connection.
    void set_unframed(std::function<bool(const net::http_request&)> choose) {
        m_is_unframed = std::move(choose);
    }
    /// Sets the function that chooses the number of events in a stream.
    void set_events(std::function<std::uint64_t(const net::http_request&)> choose) {
        m_events = std::move(choose);
    }
    /// Text at the beginning of each event's data, which tells by which engine it was sent.
    void set_event_prefix(std::string prefix) { m_event_prefix = std::move(prefix); }
    /// Sets the function that chooses the text at the end of each event's data, for one response.
    void set_padding(std::function<std::string(const net::http_request&)> choose) {
        m_padding = std::move(choose);
    }
    /// Whether responses announce that the engine is about to exit.
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// The request limit that responses name; nothing for none.
    void set_request_limit(std::optional<std::string> limit) { m_request_limit = std::move(limit); }
    /// Makes every request without an action of its own be handled in this way.
    void set_default_action(engine_action action) {
        m_default_action = [action](const net::http_request&) { return action; };
    }
    /// Start time that the engine reports, as in its entry.
    void set_started_at(std::uint64_t started_at) { m_started_at = started_at; }
    /// Whether the engine answers questions for its report, rather than with 404.
    void set_has_report(bool has_report) { m_has_report = has_report; }
    /// Sets the function that is polled while a question for the report waits for its answer; the
    /// answer is sent when it returns false.
    void set_holds_report(std::function<bool()> holds) { m_holds_report = std::move(holds); }
    /// Number of questions that wait for their answer.
    [[nodiscard]] int held_reports() const { return m_held_reports; }
    /// How long the engine is silent in engine_action::pause, engine_action::delay and
    /// engine_action::close_late.
    void set_pause(duration pause) { m_pause = pause; }
    /// Delay between events of a stream.
    void set_event_interval(duration interval) { m_event_interval = interval; }

    /// Makes requests with this prompt segment end the engine before it answers: it refuses
    /// connections until it has started again after \p restart_delay.
    void set_fatal_segment(std::string segment, duration restart_delay) {
        m_fatal_segment = std::move(segment);
        m_restart_delay = restart_delay;
    }
    /// Makes requests with this body end the engine in the same way.
    void set_fatal_body(std::string body, duration restart_delay) {
        m_fatal_body = std::move(body);
        m_restart_delay = restart_delay;
    }
    /// Number of times that such a request ended the engine.
    [[nodiscard]] int crashes() const { return m_crashes; }

    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }
    /// All requests that were received, but for questions for the engine's report.
    [[nodiscard]] const std::deque<net::http_request>& received() const { return m_received; }
    /// When each of them arrived.
    [[nodiscard]] const std::vector<time_point>& received_at() const { return m_received_at; }
    /// Number of requests in progress.
    [[nodiscard]] int running() const { return m_running; }
    /// Number of requests whose client disconnected before the end, or that hung until the timeout.
    [[nodiscard]] int disconnects() const { return m_disconnects; }

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<> serve(net::server_exchange& exchange, engine_action action);
    /// Send the head or a part of the body, as the framing demands. Return false when the client
    /// has disconnected.
    net::task<bool> begin(net::server_exchange& exchange, bool unframed);
    static net::task<bool> write(net::server_exchange& exchange, std::string data, bool unframed);
    net::task<> hang(net::server_exchange& exchange);
    net::task<> wait(duration time);
    void listen();
    /// Whether \p request has the fatal segment or body.
    [[nodiscard]] bool is_fatal(const net::http_request& request) const;
    net::task<> crash();
    net::http_response make_head(int status, const net::http_request& request) const;

    net::asio::any_io_executor m_executor;
    std::string m_endpoint;
    /// The server of each start; the last one may be running.
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::string m_fatal_segment;
    std::string m_fatal_body;
    duration m_restart_delay{};
    int m_crashes = 0;
    std::deque<engine_action> m_script;
    std::function<engine_action(const net::http_request&)> m_default_action =
        [](const net::http_request&) { return engine_action::serve; };
    std::deque<net::http_request> m_received;
    std::vector<time_point> m_received_at;
    std::function<void(const net::http_request&)> m_on_request = [](const net::http_request&) {};
    std::function<bool(const net::http_request&)> m_is_unframed = [](const net::http_request&) {
        return false;
    };
    std::function<std::uint64_t(const net::http_request&)> m_events = [](const net::http_request&) {
        return 5;
    };
    std::string m_event_prefix;
    std::function<std::string(const net::http_request&)> m_padding = [](const net::http_request&) {
        return std::string();
    };
    duration m_event_interval = milliseconds(1);
    duration m_pause{};
    bool m_leaving = false;
    std::uint64_t m_started_at = 1;
    bool m_has_report = true;
    std::function<bool()> m_holds_report = [] { return false; };
    int m_held_reports = 0;
    std::optional<std::string> m_request_limit;
    int m_running = 0;
    int m_disconnects = 0;
};

/// Returns a loopback `IP:PORT` that is free at the time of the call. It is not reserved, but no
/// other process gets one with this address.
std::string free_endpoint(net::asio::any_io_executor executor);

} // namespace eelgrassdoor::test
