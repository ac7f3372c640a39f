#include "net/http_server.hpp"

#include "net/endpoint.hpp"
#include "net/notification.hpp"
#include "net/request_memory.hpp"

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

/// How long a response must have been left unread before its connection is freed for another one.
constexpr duration min_unread_time = seconds(3);

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

/// Copies of a body that exist for a while on its way to a target, beside the received one: the
/// encoded request and its serialization.
constexpr std::size_t copies_of_body = 2;

void free_memory(std::string& text) {
    std::string().swap(text);
}

/// Bytes that a request and the unread input behind it hold.
std::size_t held_bytes(const std::string& input, const http_request& request) {
    std::size_t bytes = input.capacity() + request.body.capacity() + request.target.capacity();
    for (const http_header& each : request.headers.all()) {
        bytes += sizeof each + each.name.capacity() + each.value.capacity();
    }
    return bytes;
}

} // namespace

http_response default_stop_response(bool may_have_run) {
    http_response response;
    response.status = may_have_run ? 502 : 503;
    return response;
}

http_response default_memory_response() {
    http_response response;
    response.status = 503;
    return response;
}

server_exchange::server_exchange(std::shared_ptr<tcp_connection> connection, http_request request,
                                 time_point received_at, bool close_after_response,
                                 outgoing_memory* memory)
    : m_connection(std::move(connection)), m_request(std::move(request)),
      m_received_at(received_at), m_close_after_response(close_after_response),
      m_claim(memory, {.taken_bytes = [this] { return m_connection->acknowledged_bytes(); },
                       // Ends the pending write, and with it what it holds.
                       .yield = [this] { m_connection->reset(); }}) {}

std::size_t server_exchange::plan_response(std::size_t min, std::size_t max) {
    return m_claim.expect(min, max);
}

bool server_exchange::reserve_response(std::size_t bytes) {
    m_lacks_memory = !m_claim.reserve(bytes);
    return !m_lacks_memory;
}

task<bool> server_exchange::send(std::string bytes) {
    if (m_interrupted) {
        co_return false;
    }
    const std::size_t written = m_connection->write_available(bytes);
    if (written == bytes.size()) {
        m_claim.end_sending();
        co_return true;
    }
    // The client has not read what was sent before.
    m_claim.begin_sending(bytes.capacity());
    const io_error ec = co_await m_connection->write(std::string_view(bytes).substr(written));
    m_claim.end_sending();
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
    co_return co_await send(serialize(std::move(response)));
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
    std::string chunk = encode_chunk(data);
    free_memory(data);
    co_return co_await send(std::move(chunk));
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
        const bool sent = m_connection->write_now(serialize(std::move(final_response)));
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
        if (m_connections.size() >= m_options.max_connections && !free_connection()) {
            socket.close(ec);
            continue;
        }
        auto connection = std::make_shared<tcp_connection>(std::move(socket));
        m_connections.insert(connection);
        asio::co_spawn(m_executor, serve(connection), asio::detached);
    }
}

bool http_server::free_connection() {
    server_exchange* slowest = nullptr;
    double lowest_rate = 0;
    for (server_exchange* each : m_active) {
        const std::optional<double> rate = each->claim().reading_rate(min_unread_time);
        if (rate && (slowest == nullptr || *rate < lowest_rate)) {
            slowest = each;
            lowest_rate = *rate;
        }
    }
    if (slowest != nullptr) {
        slowest->claim().yield();
    }
    return slowest != nullptr;
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
                                     request_parser& parser, const client_limits& limits,
                                     request_claim& claim) {
    bool head_deadline_set = false;
    bool body_deadline_set = false;
    while (!parser.complete()) {
        const std::size_t used = parser.feed(connection->input());
        connection->input().erase(0, used);
        if (connection->input().empty()) {
            free_memory(connection->input());
        }
        if (parser.fault() != parse_fault::none || parser.complete()) {
            break;
        }
        if (!claim.resize(held_bytes(connection->input(), parser.message()))) {
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
        if (claim.has_yielded()) {
            break;
        }
    }
    co_return true;
}

void http_server::give_way(tcp_connection& connection, request_parser& parser) {
    free_memory(connection.input());
    free_memory(parser.message().body);
    connection.set_deadline(steady_clock()() + max_drain_time);
    http_response refusal = m_options.memory_response();
    refusal.headers.set("Connection", "close");
    if (connection.write_now(serialize(std::move(refusal)))) {
        connection.shut_down_sending();
    } else {
        connection.close();
    }
}

task<> http_server::drain(const std::shared_ptr<tcp_connection>& connection) {
    io_error ec;
    std::size_t drained = 0;
    while (!ec && drained < max_drained_bytes) {
        ec = co_await connection->read_more();
        drained += connection->input().size();
        free_memory(connection->input());
    }
}

task<> http_server::reject(const std::shared_ptr<tcp_connection>& connection,
                           http_response response) {
    response.headers.set("Connection", "close");
    connection->set_deadline(steady_clock()() + max_drain_time);
    const std::string bytes = serialize(std::move(response));
    const io_error ec = co_await connection->write(bytes);
    connection->shut_down_sending();
    free_memory(connection->input());
    if (!ec) {
        co_await drain(connection);
    }
}

task<bool> http_server::serve_request(const std::shared_ptr<tcp_connection>& connection) {
    const bool arrived = co_await wait_for_request(connection);
    if (!arrived) {
        co_return false;
    }
    const client_limits limits = m_options.limits();
    request_parser parser(limits.sizes);
    request_claim claim(m_options.memory, steady_clock()(), [&] { give_way(*connection, parser); });
    const bool received = co_await read_request(connection, parser, limits, claim);
    if (!received) {
        co_return false;
    }
    if (claim.has_yielded()) {
        co_await drain(connection);
        co_return false;
    }
    const std::size_t held = held_bytes(connection->input(), parser.message());
    const bool sound = parser.fault() == parse_fault::none;
    const bool has_memory = sound && parser.complete() &&
                            claim.complete(held + copies_of_body * parser.message().body.size());
    if (!has_memory) {
        // What the client still sends is dropped without holding what it has sent.
        free_memory(parser.message().body);
        free_memory(connection->input());
        (void)claim.resize(0);
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
    if (!has_memory) {
        http_response refusal = m_options.memory_response();
        co_await reject(connection, std::move(refusal));
        co_return false;
    }
    connection->set_deadline(time_point::max());
    server_exchange exchange(connection, std::move(parser.message()), steady_clock()(), m_closing,
                             m_options.responses);
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
