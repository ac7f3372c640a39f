#include "stand_in/raw_target.hpp"

#include "base/text.hpp"
#include "net/endpoint.hpp"
#include "net/http_parser.hpp"
#include "stand_in/scripted_engine.hpp"

namespace eelgrassdoor::test {

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

net::task<> raw_target::accept_loop() {
    for (;;) {
        net::io_error ec;
        net::tcp::socket socket = co_await m_acceptor.async_accept(net::store_error(ec));
        if (ec) {
            co_return;
        }
        auto connection = std::make_shared<net::tcp_connection>(std::move(socket));
        net::asio::co_spawn(m_acceptor.get_executor(), serve(connection), net::asio::detached);
    }
}

net::task<std::optional<net::http_request>>
raw_target::read_request(std::shared_ptr<net::tcp_connection> connection) {
    net::request_parser parser({});
    while (!parser.complete()) {
        const std::size_t used = parser.feed(connection->input());
        connection->input().erase(0, used);
        if (parser.complete()) {
            break;
        }
        const net::io_error ec = co_await connection->read_more();
        if (ec || parser.fault() != net::parse_fault::none) {
            co_return std::nullopt;
        }
    }
    co_return std::move(parser.message());
}

net::task<> raw_target::serve(std::shared_ptr<net::tcp_connection> connection) {
    std::optional<net::http_request> request = co_await read_request(connection);
    while (request && request->target == "/eelgrassdoor/report") {
        net::http_response report;
        report.status = 200;
        report.headers.set("Content-Type", "application/json");
        report.body = str_cat(R"({"stage":"both","seq":0,"born":)", m_started_at, "}");
        const std::string bytes = net::serialize(report);
        co_await connection->write(bytes);
        request = co_await read_request(connection);
    }
    if (!request) {
        co_return;
    }
    ++m_received;
    const response answer = m_respond(*request);
    co_await connection->write(answer.bytes);
    if (!answer.endless_tail.empty()) {
        co_await send_endlessly(*connection, answer.endless_tail);
    }
    if (answer.reset) {
        connection->reset();
    } else {
        connection->close();
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
