#include "net/http_client.hpp"

#include "base/text.hpp"
#include "net/endpoint.hpp"

namespace eelgrassdoor::net {

task<result<std::shared_ptr<tcp_connection>>>
http_client::connect(asio::any_io_executor executor, std::string endpoint, time_point deadline) {
    const result<tcp::endpoint> peer = parse_endpoint(endpoint);
    if (!peer) {
        co_return peer.error();
    }
    auto connection = std::make_shared<tcp_connection>(tcp::socket(executor));
    connection->set_deadline(deadline);
    const io_error ec = co_await connection->connect(peer.value());
    if (ec) {
        const auto code =
            connection->timed_out() ? error_code::deadline_exceeded : error_code::target_failed;
        const std::string reason = connection->timed_out() ? "timeout" : ec.message();
        connection->close();
        co_return error{code, str_cat("cannot connect to ", endpoint, ": ", reason),
                        run_state::not_run};
    }
    co_return connection;
}

std::shared_ptr<tcp_connection> http_client::take_idle(const std::string& endpoint) {
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        std::shared_ptr<tcp_connection> connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection->is_open() && !connection->has_unexpected_input()) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void http_client::keep_idle(const std::string& endpoint,
                            std::shared_ptr<tcp_connection> connection) {
    connection->set_deadline(time_point::max());
    std::vector<std::shared_ptr<tcp_connection>>& idle = m_idle[endpoint];
    if (idle.size() < m_options.max_idle_connections) {
        idle.push_back(std::move(connection));
    } else {
        connection->close();
    }
}

task<result<http_response>> http_client::call(std::string endpoint, http_request request,
                                              time_point deadline) {
    return call(std::move(endpoint), std::move(request),
                call_limits{.deadline = deadline, .has_room = nullptr});
}

task<result<http_response>> http_client::call(std::string endpoint, http_request request,
                                              call_limits limits) {
    if (m_options.is_partitioned && m_options.is_partitioned(endpoint)) {
        co_return error{
            error_code::target_failed,
            str_cat("cannot connect to ", endpoint, ": blocked by a simulated partition"),
            run_state::not_run};
    }
    std::shared_ptr<tcp_connection> connection = take_idle(endpoint);
    if (!connection) {
        const time_point connect_by =
            std::min(limits.deadline, steady_clock()() + m_options.connect_timeout);
        result<std::shared_ptr<tcp_connection>> opened =
            co_await connect(m_executor, endpoint, connect_by);
        if (!opened) {
            co_return opened.error();
        }
        connection = std::move(opened.value());
    }
    const std::function<void()> extend_deadline = [&limits, connection = connection.get()] {
        const time_point now = steady_clock()();
        const bool is_limited = limits.max_silence < limits.deadline - now;
        connection->set_deadline(is_limited ? now + limits.max_silence : limits.deadline);
    };
    extend_deadline();
    http_exchange exchange(connection, m_options.limits);
    exchange.set_has_room(std::move(limits.has_room));
    exchange.send(request);
    const result<void> read = co_await exchange.read_all(extend_deadline);
    if (!read) {
        connection->close();
        co_return read.error();
    }
    if (exchange.reusable()) {
        keep_idle(endpoint, connection);
    } else {
        connection->close();
    }
    co_return std::move(exchange.response());
}

} // namespace eelgrassdoor::net
