/// \file
/// Defines an engine with slots and a queue that can end and start again.
#pragma once

#include "net/http_server.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// Serves streams and items as events 1 to N, a bounded number of them at a time. Not thread-safe.
class recovery_engine {
public:
    recovery_engine(net::asio::any_io_executor executor, std::string id, std::string endpoint,
                    std::string zone);

    /// Listens, unless it runs, as a new start with nothing of before.
    void start();
    /// Closes all connections and listens no more.
    void stop();

    [[nodiscard]] bool is_running() const { return m_is_running; }
    /// What the engine writes into the store.
    [[nodiscard]] std::string entry() const;
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& zone() const { return m_zone; }
    /// Requests in slots and in the queue.
    [[nodiscard]] int load() const { return m_load; }
    /// Runs begun, and requests refused because the queue was full.
    [[nodiscard]] int runs() const { return m_runs; }
    [[nodiscard]] int refusals() const { return m_refusals; }
    /// The time at which the entry says that the engine started.
    std::uint64_t born = 0;

private:
    net::task<> handle(net::server_exchange& exchange);
    net::task<> run(net::server_exchange& exchange, int start);
    net::task<> wait(duration time);
    /// Whether the process that took the request is gone.
    [[nodiscard]] bool is_gone(int start) const { return !m_is_running || start != m_start; }

    net::asio::any_io_executor m_executor;
    std::string m_id;
    std::string m_endpoint;
    std::string m_zone;
    /// The server of each start; suspended handlers refer to the earlier ones.
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    bool m_is_running = false;
    int m_start = 0;
    int m_load = 0;
    int m_running = 0;
    int m_runs = 0;
    int m_refusals = 0;
};

} // namespace eelgrassdoor::test
