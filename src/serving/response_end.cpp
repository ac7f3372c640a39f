#include "serving/response_end.hpp"

#include "net/notification.hpp"
#include "serving/target_connection.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace eelgrassdoor::serving {

namespace {

/// How far apart connections end that end for one reason, and so how long the end of a response
/// waits for the others.
constexpr duration related_end_window = milliseconds(50);

} // namespace

struct response_end::witness {
    /// Null until it is open.
    std::shared_ptr<net::tcp_connection> connection;
    /// When it was closed in order by the other side.
    std::optional<time_point> closed_at;
    /// Whether the response has ended before it was open.
    bool is_abandoned = false;
};

response_end::response_end(service_context& context, target_process process,
                           std::shared_ptr<net::tcp_connection> response)
    : m_context(context), m_process(std::move(process)), m_response(std::move(response)) {}

response_end::~response_end() {
    if (!m_witness) {
        return;
    }
    m_witness->is_abandoned = true;
    if (m_witness->connection) {
        m_witness->connection->close();
    }
}

void response_end::watch() {
    const time_point now = m_context.clock();
    const bool is_replaced =
        m_witness && m_witness->closed_at && *m_witness->closed_at + related_end_window < now;
    if (m_witness && !is_replaced) {
        return;
    }
    // A connection that is opened after the end of the response tells nothing about the end.
    if (m_response->has_peer_ended()) {
        m_has_ended_with_witness = is_replaced;
        return;
    }
    m_witness = std::make_shared<witness>();
    net::asio::co_spawn(m_context.executor, open(m_context, m_process, m_response, m_witness),
                        net::asio::detached);
}

net::task<> response_end::open(service_context& context, target_process process,
                               std::shared_ptr<net::tcp_connection> response,
                               std::shared_ptr<witness> opened) {
    const time_point connect_by = context.clock() + target_connect_timeout;
    const auto connected =
        co_await connect_to_target(context, process.target, process.endpoint, connect_by);
    if (!connected) {
        co_return;
    }
    const std::shared_ptr<net::tcp_connection>& connection = connected.value();
    connection->set_deadline(time_point::max());
    if (opened->is_abandoned) {
        connection->close();
        co_return;
    }
    opened->connection = connection;
    connection->watch_for_close([&context, target = process.target, response = std::move(response),
                                 weak = std::weak_ptr<witness>(opened)] {
        const std::shared_ptr<witness> closed = weak.lock();
        if (!closed || closed->connection->peer() != net::peer_state::closed) {
            return;
        }
        closed->closed_at = context.clock();
        if (response->has_peer_ended()) {
            context.ended_connections.record(target, context.clock());
        }
    });
}

bool response_end::is_witness_closed(time_point since) const {
    return m_has_ended_with_witness ||
           (m_witness && m_witness->closed_at && *m_witness->closed_at >= since);
}

error response_end::unconfirmed(std::string_view reason) const {
    m_context.log.write(
        observe::event::response_end_unconfirmed, m_process.target,
        {{"started_at", std::to_string(m_process.started_at)}, {"reason", std::string(reason)}});
    return {error_code::target_failed,
            "the connection was closed, and perhaps not by the target at the end of its response",
            run_state::unknown};
}

net::task<result<void>> response_end::confirm(time_point deadline,
                                              std::function<bool()> is_cancelled) {
    const time_point ended_at = m_context.clock();
    const time_point since = ended_at - related_end_window;
    if (is_witness_closed(since)) {
        m_context.ended_connections.record(m_process.target, ended_at);
    }
    // Whatever has ended this connection may be about to end others.
    co_await net::sleep_for(std::min(related_end_window, deadline - ended_at));
    if (is_cancelled()) {
        co_return unconfirmed("cancelled");
    }
    if (is_witness_closed(since)) {
        co_return unconfirmed("witness_closed");
    }
    if (m_context.ended_connections.explain_end(m_process.target, since)) {
        co_return unconfirmed("related_ends");
    }
    const std::shared_ptr<net::tcp_connection> connection =
        m_witness ? m_witness->connection : nullptr;
    if (connection && connection->peer() == net::peer_state::open) {
        connection->stop_watching();
        const process_answer answer =
            co_await ask_for_process(m_context, connection, m_process, deadline);
        if (answer == process_answer::same) {
            m_context.log.write(
                observe::event::response_end_confirmed, m_process.target,
                {{"by", "witness"}, {"started_at", std::to_string(m_process.started_at)}});
            co_return success();
        }
        if (answer == process_answer::other) {
            co_return unconfirmed("process_ended");
        }
        if (connection->timed_out()) {
            co_return unconfirmed("target_silent");
        }
        if (connection->peer() == net::peer_state::closed) {
            co_return unconfirmed("witness_closed");
        }
    }
    // The target had no connection to spare, or has closed an idle one.
    co_return co_await confirm_running(m_context, m_process, deadline, std::move(is_cancelled));
}

} // namespace eelgrassdoor::serving
