/// \file
/// Defines an HTTP client that reuses its connections.
#pragma once

#include "base/error.hpp"
#include "net/http_exchange.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::net {

/// Options of http_client.
struct http_client_options {
    duration connect_timeout = milliseconds(500);
    /// Limit of idle connections kept open for each server.
    std::size_t max_idle_connections = 4;
    /// Size limits of responses.
    parse_limits limits;
    /// Whether calls to an endpoint (`IP:PORT`) fail at once; simulates network partitions in
    /// tests. May be empty.
    std::function<bool(std::string_view)> is_partitioned;
};

/// Limits of one call.
struct call_limits {
    /// When the call fails if it is not complete.
    time_point deadline;
    /// How long the server may send nothing before the call fails.
    duration max_silence = duration::max();
    /// See http_exchange::set_has_room(). May be empty.
    std::function<bool(std::size_t bytes)> has_room;
};

/// Sends complete requests and reads complete responses. Never retries a request. Must be used on
/// the thread of its event loop.
class http_client {
public:
    explicit http_client(asio::any_io_executor executor, http_client_options options = {})
        : m_executor(std::move(executor)), m_options(std::move(options)) {}

    /// Calls the server at \p endpoint (`IP:PORT`) and fails at \p deadline. An error with
    /// run_state::not_run means that no byte of the request was sent, and one with
    /// run_state::unknown that the server may have received it.
    task<result<http_response>> call(std::string endpoint, http_request request,
                                     time_point deadline);
    /// The same with further limits.
    task<result<http_response>> call(std::string endpoint, http_request request,
                                     call_limits limits);
    /// Opens a connection outside of the pool. Its deadline stays set to \p deadline. Fails with
    /// error_code::invalid_request when \p endpoint is malformed, and otherwise with
    /// error_code::deadline_exceeded or target_failed, always as run_state::not_run.
    static task<result<std::shared_ptr<tcp_connection>>>
    connect(asio::any_io_executor executor, std::string endpoint, time_point deadline);

private:
    std::shared_ptr<tcp_connection> take_idle(const std::string& endpoint);
    void keep_idle(const std::string& endpoint, std::shared_ptr<tcp_connection> connection);

    asio::any_io_executor m_executor;
    http_client_options m_options;
    std::map<std::string, std::vector<std::shared_ptr<tcp_connection>>, std::less<>> m_idle;
};

} // namespace eelgrassdoor::net
