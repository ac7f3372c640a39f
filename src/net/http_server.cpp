#include "net/http_server.hpp"

#include "net/endpoint.hpp"
#include "net/notification.hpp"

namespace eelgrassdoor::net {

namespace {

/// Connections that may wait to be accepted; the kernel drops the SYN packets of further ones.
constexpr int listen_backlog = 1024;
/// Delay after a failed accept, such as for lack of file descriptors.
constexpr duration accept_retry_delay = milliseconds(20);
/// How long, and up to how many bytes, the server reads and drops what a rejected client still
/// sends. To close a connection with unread bytes would reset it, which may destroy the response.
constexpr duration max_drain_time = seconds(2);
constexpr std::size_t max_drained_bytes = 16UL * 1024 * 1024;

http_response make_rejection(int status) {
    http_response response;
    response.status = status;
    return response;
}

int status_for(parse_fault fault) {
    switch (fault) {
    case parse_fault::header_too_large:
        return 431;
    case parse_fault::body_too_large:
        return 413;
    default:
        return 400;
    }
}

} // namespace

http_response default_stop_response(bool may_have_run) {
    http_response response;
    response.status = may_have_run ? 502 : 503;
    return response;
}

task<bool> server_exchange::send(std::string bytes) {
    if (m_interrupted) {
        co_return false;
    }
    const io_error ec = co_await m_connection->write(bytes);
    if (ec) {
        m_client_disconnected = true;
        m_connection->close();
    }
    co_return !ec;
}

bool server_exchange::advance(response_state expected, response_state next) {
    if (m_state != expected || m_aborted) {
        abort();
        return false;
    }
    m_state = next;
    return true;
}

task<bool> server_exchange::respond(http_response response) {
    if (!advance(response_state::none, response_state::complete)) {
        co_return false;
    }
    if (!reusable()) {
        response.headers.set("Connection", "close");
    }
    co_return co_await send(serialize(response));
}

task<bool> server_exchange::begin(http_response head) {
    if (!advance(response_state::none, response_state::begun)) {
        co_return false;
    }
    head.headers.set("Transfer-Encoding", "chunked");
    if (!reusable()) {
        head.headers.set("Connection", "close");
    }
    co_return co_await send(serialize_head(head));
}

task<bool> server_exchange::write(std::string data) {
    if (!advance(response_state::begun, response_state::begun)) {
        co_return false;
    }
    if (data.empty()) {
        co_return true;
    }
    co_return co_await send(encode_chunk(data));
}

task<bool> server_exchange::finish() {
    if (!advance(response_state::begun, response_state::complete)) {
        co_return false;
    }
    co_return co_await send(std::string(last_chunk));
}

void server_exchange::abort() {
    m_aborted = true;
    m_connection->close();
}

void server_exchange::on_client_disconnect(std::function<void()> on_disconnect) {
    m_on_disconnect = std::move(on_disconnect);
    m_connection->watch_for_close([this] {
        m_client_disconnected = true;
        m_on_disconnect();
    });
}

void server_exchange::interrupt(http_response final_response) {
    if (m_state == response_state::complete || m_interrupted) {
        return;
    }
    m_interrupted = true;
    const bool notify = !m_client_disconnected && m_on_disconnect;
    m_client_disconnected = true;
    if (m_state == response_state::none) {
        final_response.headers.set("Connection", "close");
        const bool sent = m_connection->write_now(serialize(final_response));
        m_state = sent ? response_state::complete : response_state::none;
    }
    m_connection->close();
    if (notify) {
        m_on_disconnect();
    }
}

bool server_exchange::reusable() const {
    return m_request.keep_alive && !m_close_after_response && !m_aborted &&
           !m_client_disconnected && m_connection->is_open();
}

http_server::http_server(asio::any_io_executor executor, http_server_options options,
                         request_handler handler)
    : m_executor(std::move(executor)), m_options(std::move(options)), m_handler(std::move(handler)),
      m_acceptor(m_executor) {}

result<void> http_server::start() {
    BOOST_OUTCOME_TRY(endpoint, parse_endpoint(m_options.endpoint));
    io_error ec;
    m_acceptor.open(endpoint.protocol(), ec);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    m_acceptor.bind(endpoint, ec);
    if (!ec) {
        m_acceptor.listen(listen_backlog, ec);
    }
    if (ec) {
        io_error ignored;
        m_acceptor.close(ignored);
        return error{error_code::unavailable,
                     "cannot listen on " + m_options.endpoint + ": " + ec.message()};
    }
    asio::co_spawn(m_executor, accept_loop(), asio::detached);
    return success();
}

void http_server::stop() {
    m_stopped = true;
    m_closing = true;
    io_error ignored;
    m_acceptor.close(ignored);
    const std::set<std::shared_ptr<tcp_connection>> idle = m_idle;
    for (const std::shared_ptr<tcp_connection>& connection : idle) {
        // To close a connection with unread bytes would reset it.
        if (!connection->has_unexpected_input()) {
            connection->close();
        }
    }
}

void http_server::interrupt_requests() {
    const std::set<server_exchange*> active = m_active;
    for (server_exchange* exchange : active) {
        exchange->interrupt(m_options.stop_response(exchange->may_have_run()));
    }
}

void http_server::close_connections() {
    const std::set<std::shared_ptr<tcp_connection>> all = m_connections;
    for (const std::shared_ptr<tcp_connection>& connection : all) {
        connection->close();
    }
}

task<> http_server::accept_loop() {
    while (m_acceptor.is_open()) {
        io_error ec;
        tcp::socket socket = co_await m_acceptor.async_accept(store_error(ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        if (m_connections.size() >= m_options.max_connections) {
            socket.close(ec);
            continue;
        }
        auto connection = std::make_shared<tcp_connection>(std::move(socket));
        m_connections.insert(connection);
        asio::co_spawn(m_executor, serve(connection), asio::detached);
    }
}

task<> http_server::serve(std::shared_ptr<tcp_connection> connection) {
    bool keep_open = true;
    while (keep_open && connection->is_open()) {
        keep_open = co_await serve_request(connection);
    }
    connection->close();
    m_idle.erase(connection);
    m_connections.erase(connection);
}

task<bool> http_server::wait_for_request(const std::shared_ptr<tcp_connection>& connection) {
    connection->set_renewable_deadline([this, idle_since = steady_clock()()] {
        return idle_since + m_options.limits().idle_timeout;
    });
    m_idle.insert(connection);
    io_error ec;
    while (connection->input().empty() && !ec) {
        ec = co_await connection->read_more();
    }
    m_idle.erase(connection);
    co_return !ec;
}

task<bool> http_server::read_request(const std::shared_ptr<tcp_connection>& connection,
                                     request_parser& parser, const client_limits& limits) {
    bool head_deadline_set = false;
    bool body_deadline_set = false;
    while (!parser.complete()) {
        const std::size_t used = parser.feed(connection->input());
        connection->input().erase(0, used);
        if (parser.fault() != parse_fault::none || parser.complete()) {
            break;
        }
        if (!head_deadline_set) {
            head_deadline_set = true;
            connection->set_deadline(steady_clock()() + limits.header_timeout);
        }
        if (parser.has_head() && !body_deadline_set) {
            body_deadline_set = true;
            connection->set_deadline(steady_clock()() + limits.idle_timeout);
            if (parser.expects_continue()) {
                co_await connection->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (used > 0) {
            continue;
        }
        const io_error ec = co_await connection->read_more();
        if (ec) {
            co_return false;
        }
    }
    co_return true;
}

task<> http_server::reject(const std::shared_ptr<tcp_connection>& connection,
                           http_response response) {
    response.headers.set("Connection", "close");
    connection->set_deadline(steady_clock()() + max_drain_time);
    const std::string bytes = serialize(response);
    io_error ec = co_await connection->write(bytes);
    connection->shut_down_sending();
    std::size_t drained = 0;
    while (!ec && drained < max_drained_bytes) {
        connection->input().clear();
        ec = co_await connection->read_more();
        drained += connection->input().size();
    }
}

task<bool> http_server::serve_request(const std::shared_ptr<tcp_connection>& connection) {
    const bool arrived = co_await wait_for_request(connection);
    if (!arrived) {
        co_return false;
    }
    const client_limits limits = m_options.limits();
    request_parser parser(limits.sizes);
    const bool received = co_await read_request(connection, parser, limits);
    if (!received) {
        co_return false;
    }
    if (m_stopped) {
        http_response refusal = m_options.stop_response(false);
        co_await reject(connection, std::move(refusal));
        co_return false;
    }
    if (parser.fault() != parse_fault::none) {
        http_response rejection = make_rejection(status_for(parser.fault()));
        co_await reject(connection, std::move(rejection));
        co_return false;
    }
    connection->set_deadline(time_point::max());
    server_exchange exchange(connection, std::move(parser.message()), steady_clock()(), m_closing);
    m_active.insert(&exchange);
    co_await m_handler(exchange);
    m_active.erase(&exchange);
    connection->stop_watching();
    if (!exchange.response_complete()) {
        exchange.abort();
    }
    co_return exchange.reusable();
}

} // namespace eelgrassdoor::net
