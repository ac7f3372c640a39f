/// \file
/// Defines a sound engine that records what it runs.
#pragma once

#include "net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
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
    };

    /// \p record writes a line of the record.
    engine(net::asio::any_io_executor executor, options settings,
           std::function<void(const std::string&)> record);

    bool start();
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
    /// Ids of the requests whose last event was sent.
    [[nodiscard]] const std::set<std::string>& finished() const { return m_finished; }
    /// The tenants for which each request was run.
    [[nodiscard]] const std::map<std::string, std::set<std::string>>& tenants() const {
        return m_tenants;
    }
    /// When each request that was run arrived, in the order of the runs.
    [[nodiscard]] const std::vector<std::pair<std::string, time_point>>& arrivals() const {
        return m_arrivals;
    }

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<> run(net::server_exchange& exchange, time_point arrived_at);

    net::asio::any_io_executor m_executor;
    options m_settings;
    std::function<void(const std::string&)> m_record;
    net::http_server m_server;
    std::uint64_t m_born;
    std::set<std::string> m_finished;
    std::map<std::string, std::set<std::string>> m_tenants;
    int m_load = 0;
    time_point m_last_held = time_point::min();
    time_point m_last_finished = time_point::min();
    int m_running = 0;
    std::vector<std::pair<std::string, time_point>> m_arrivals;
};

} // namespace eelgrassdoor::review
