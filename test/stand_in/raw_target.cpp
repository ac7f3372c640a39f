#include "stand_in/raw_target.hpp"

#include "base/text.hpp"
#include "net/endpoint.hpp"
#include "net/http_parser.hpp"
#include "net/notification.hpp"
#include "stand_in/scripted_engine.hpp"

#include <algorithm>

namespace eelgrassdoor::test {

namespace {

/// How often a response asks whether it is still held.
constexpr duration hold_poll_interval = milliseconds(2);

} // namespace

raw_target::raw_target(net::asio::any_io_executor executor)
    : m_endpoint(free_endpoint(executor)), m_acceptor(executor) {}

void raw_target::start() {
    const auto own = net::parse_endpoint(m_endpoint).value();
    m_acceptor.open(own.protocol());
    m_acceptor.set_option(net::asio::socket_base::reuse_address(true));
    m_acceptor.bind(own);
    m_acceptor.listen();
    net::asio::co_spawn(m_acceptor.get_executor(), accept_loop(), net::asio::detached);
}

void raw_target::end() {
    net::io_error ignored;
    m_acceptor.close(ignored);
    end_connections();
    if (m_on_ended) {
        m_on_ended();
    }
}

void raw_target::end_connections() {
    for (const std::shared_ptr<net::tcp_connection>& connection : m_connections) {
        connection->close();
    }
    m_connections.clear();
    m_busy_connections.clear();
}

void raw_target::end_busy_connections() {
    for (const std::shared_ptr<net::tcp_connection>& connection : m_busy_connections) {
        connection->close();
        m_connections.erase(connection);
    }
    m_busy_connections.clear();
}

void raw_target::end_idle_connection() {
    const auto idle =
        std::find_if(m_connections.begin(), m_connections.end(),
                     [&](const auto& each) { return !m_busy_connections.contains(each); });
    if (idle != m_connections.end()) {
        (*idle)->close();
        m_connections.erase(idle);
    }
}

net::task<> raw_target::accept_loop() {
    for (;;) {
        net::io_error ec;
        net::tcp::socket socket = co_await m_acceptor.async_accept(net::store_error(ec));
        if (ec) {
            co_return;
        }
        auto connection = std::make_shared<net::tcp_connection>(std::move(socket));
        if (m_connections.size() >= m_connection_limit) {
            connection->reset();
            continue;
        }
        m_connections.insert(connection);
        net::asio::co_spawn(m_acceptor.get_executor(), serve(connection), net::asio::detached);
    }
}

net::task<std::optional<net::http_request>>
raw_target::read_request(std::shared_ptr<net::tcp_connection> connection) {
    net::request_parser parser({});
    while (!parser.complete()) {
        const std::size_t used = parser.feed(connection->input());
        connection->input().erase(0, used);
        if (parser.complete() || (parser.has_head() && m_responds_early(parser.message()))) {
            break;
        }
        const net::io_error ec = co_await connection->read_more();
        if (ec || parser.fault() != net::parse_fault::none) {
            co_return std::nullopt;
        }
    }
    co_return std::move(parser.message());
}

raw_target::response raw_target::make_report() const {
    net::http_response report;
    report.status = 200;
    report.headers.set("Content-Type", "application/json");
    report.body = str_cat(R"({"stage":"both","seq":0,"born":)", m_started_at, "}");
    return {.bytes = net::serialize(report)};
}

net::task<bool> raw_target::send_report(std::shared_ptr<net::tcp_connection> connection) {
    if (m_report_delay > duration::zero()) {
        net::notification delay(m_acceptor.get_executor());
        co_await delay.wait_until(steady_clock()() + m_report_delay);
    }
    const response answer = m_report ? m_report() : make_report();
    const net::io_error ec = co_await connection->write(answer.bytes);
    if (answer.reset) {
        connection->reset();
    }
    const bool ends =
        answer.bytes.empty() || answer.bytes.find("Connection: close") != std::string::npos;
    co_return !ec && !ends && m_after_report != after_report::close && connection->is_open();
}

net::task<> raw_target::serve(std::shared_ptr<net::tcp_connection> connection) {
    std::optional<net::http_request> request = co_await read_request(connection);
    bool is_open = request.has_value();
    bool ends_at_request = false;
    while (is_open && request->target == "/eelgrassdoor/report") {
        is_open = co_await send_report(connection);
        ends_at_request = m_after_report == after_report::close_at_request ||
                          m_after_report == after_report::reset_at_request;
        if (is_open) {
            request = co_await read_request(connection);
            is_open = request.has_value();
        }
    }
    if (is_open && ends_at_request) {
        ++m_dropped;
        if (m_after_report == after_report::reset_at_request) {
            connection->reset();
        }
    } else if (is_open && connection->is_open()) {
        m_busy_connections.insert(connection);
        co_await respond(connection, *request);
    }
    connection->close();
    m_connections.erase(connection);
    m_busy_connections.erase(connection);
}

net::task<> raw_target::respond(std::shared_ptr<net::tcp_connection> connection,
                                const net::http_request& request) {
    ++m_received;
    const response answer = m_respond(request);
    co_await connection->write(answer.bytes);
    if (!answer.endless_tail.empty()) {
        co_await send_endlessly(*connection, answer.endless_tail);
    }
    if (answer.half_closes) {
        connection->shut_down_sending();
    }
    if (answer.end_delay > duration::zero()) {
        net::notification delay(m_acceptor.get_executor());
        co_await delay.wait_until(steady_clock()() + answer.end_delay);
    }
    while (answer.is_held && answer.is_held()) {
        net::notification step(m_acceptor.get_executor());
        co_await step.wait_until(steady_clock()() + hold_poll_interval);
    }
    if (answer.at_end) {
        answer.at_end();
    }
    if (answer.ends_process) {
        end();
    } else if (answer.ends_connections) {
        end_connections();
    } else if (answer.reset) {
        connection->reset();
    }
}

net::task<> raw_target::send_endlessly(net::tcp_connection& connection, std::string_view tail) {
    ++m_endless_responses;
    net::io_error ec;
    while (!ec) {
        ec = co_await connection.write(tail);
        m_tail_bytes += ec ? 0 : tail.size();
    }
    --m_endless_responses;
}

} // namespace eelgrassdoor::test
