/// \file
/// Defines the HTTP servers of one daemon.
#pragma once

#include "host/host_settings.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassdoor::host {

/// Handlers of the requests that a daemon's servers receive.
struct server_handlers {
    net::request_handler caller;
    net::request_handler readiness;
    net::request_handler metrics;
    net::request_handler peer;
    /// Returns the limits of callers' requests; called for each connection.
    std::function<net::client_limits()> caller_limits;
    /// Builds the response to callers' requests that a shutdown refuses or ends.
    std::function<net::http_response(bool may_have_run)> stop_response;
    /// Memory that the requests of callers and of other daemons share. Must outlive the servers.
    net::request_memory* request_memory = nullptr;
    /// Memory that the responses of all servers share. Must outlive the servers.
    net::outgoing_memory* responses = nullptr;
    /// Builds the response to callers' requests that are not run for lack of memory.
    std::function<net::http_response()> memory_response;
};

/// The servers for callers, readiness checks, metrics and other daemons, as far as the settings
/// name their endpoints.
class daemon_servers {
public:
    daemon_servers(net::asio::any_io_executor executor, const host_settings& settings,
                   server_handlers handlers);

    /// Starts to listen. The error names the endpoint that could not be opened; then it may be
    /// called again. The server for metrics is no condition: it is tried again while the daemon
    /// serves.
    result<void> start();
    /// Called with the reason when the server for metrics cannot listen yet. Must be set before
    /// start().
    std::function<void(const std::string& reason)> on_metrics_unavailable = [](const auto&) {};
    /// The server for callers; null if this daemon serves none.
    [[nodiscard]] net::http_server* caller() { return m_caller.get(); }

private:
    using server_ptr = std::unique_ptr<net::http_server>;

    net::task<> retry_metrics();

    net::asio::any_io_executor m_executor;
    server_ptr m_caller;
    server_ptr m_readiness;
    server_ptr m_metrics;
    server_ptr m_peer;
};

} // namespace eelgrassdoor::host
