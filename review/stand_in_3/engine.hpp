/// \file
/// Defines a sound engine that records what it runs.
#pragma once

#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::review {

/// Serves each request as a stream of numbered events, a bounded number of requests at a time, and
/// queues a few more. Goes on after Last-Event-Id. Not thread-safe.
class engine {
public:
    struct options {
        std::string id;
        std::string endpoint;
        std::string zone;
        std::string service = "s";
        int slots = 8;
        int queue = 24;
        /// Events of an item, and of a stream of the route /q/.
        std::uint64_t events = 256;
        std::uint64_t stream_events = 37;
        std::string version = "v1";
        duration event_interval = milliseconds(20);
        /// Text at the end of each event.
        std::string padding;
        /// A part of prompts, never the last, on which the engine ends as it begins to write an
        /// answer; none if empty.
        std::string crashing_part;
        /// Called when the engine is back after such an end.
        std::function<void(const engine&)> on_restart;
    };

    /// \p record writes a line of the record.
    engine(net::asio::any_io_executor executor, options settings,
           std::function<void(const std::string&)> record);

    bool start();
    /// When the engine ended on a part of a prompt.
    [[nodiscard]] const std::vector<time_point>& crashes() const { return m_crashes; }
    /// What the engine writes into the store.
    [[nodiscard]] std::string entry() const;
    [[nodiscard]] const std::string& id() const { return m_settings.id; }
    [[nodiscard]] const std::string& service() const { return m_settings.service; }
    /// When the engine last held a request, in a slot or its queue; the start of time if never.
    [[nodiscard]] time_point last_held() const {
        return m_load > 0 ? steady_clock()() : m_last_held;
    }
    /// When the engine last finished a request; the start of time if never.
    [[nodiscard]] time_point last_finished() const { return m_last_finished; }
    /// Whether the engine has begun to work on this request.
    [[nodiscard]] bool has_run(const std::string& attempt) const {
        return m_attempts.contains(attempt);
    }

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<> run(net::server_exchange& exchange);
    /// Ends the process, as far as others can see, and starts another one after a while.
    void crash();
    net::task<> restart();

    net::asio::any_io_executor m_executor;
    options m_settings;
    std::function<void(const std::string&)> m_record;
    std::unique_ptr<net::http_server> m_server;
    /// Those of earlier starts, whose coroutines may still run.
    std::vector<std::unique_ptr<net::http_server>> m_ended_servers;
    std::uint64_t m_born;
    std::vector<time_point> m_crashes;
    std::set<std::string> m_attempts;
    int m_load = 0;
    time_point m_last_held = time_point::min();
    time_point m_last_finished = time_point::min();
    int m_running = 0;
};

} // namespace eelgrassdoor::review
