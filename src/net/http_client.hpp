/// \file
/// Defines the client that keeps connections to a few servers open.
#pragma once

#include "base/error.hpp"
#include "net/http_exchange.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::net {

struct http_client_options {
    duration connect_timeout = milliseconds(500);
    /// Idle connections kept for each server.
    std::size_t max_idle = 4;
    parse_limits limits;
    /// Endpoints that cannot be connected to: cuts of the network, in tests.
    std::function<bool(std::string_view)> is_cut_off;
};

/// Sends whole requests and reads whole responses. Repeats nothing by itself.
class http_client {
public:
    explicit http_client(asio::any_io_executor executor, http_client_options options = {})
        : m_executor(std::move(executor)), m_options(std::move(options)) {}

    /// Calls the server at \p endpoint (`IP:PORT`). An error's run_state says whether the request
    /// may have reached it.
    task<result<http_response>> call(std::string endpoint, http_request request,
                                     time_point deadline);
    /// Opens a connection that is not kept for others.
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
