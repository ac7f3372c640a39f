/// \file
/// Guards against responses that have neither a length nor chunks and end with their connection: a
/// whole one must arrive whole, and one that ends inside an event must not look complete.
#include "base/text.hpp"
#include "net/endpoint.hpp"
#include "net/tcp_connection.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::string_view whole_stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::string_view cut_stream = "id: 1\ndata: a\n\nid: 2\nda";

/// A target whose responses end with their connection.
class unframed_target {
public:
    explicit unframed_target(net::asio::any_io_executor executor)
        : m_endpoint(free_endpoint(executor)), m_acceptor(executor) {}

    void start() {
        const auto own = net::parse_endpoint(m_endpoint).value();
        m_acceptor.open(own.protocol());
        m_acceptor.set_option(net::asio::socket_base::reuse_address(true));
        m_acceptor.bind(own);
        m_acceptor.listen();
        net::asio::co_spawn(m_acceptor.get_executor(), accept_loop(), net::asio::detached);
    }
    void set_body(std::string_view body) { m_body = body; }
    [[nodiscard]] const std::string& endpoint() const { return m_endpoint; }

private:
    net::task<> accept_loop() {
        for (;;) {
            net::io_error ec;
            net::tcp::socket socket = co_await m_acceptor.async_accept(net::store_error(ec));
            auto connection = std::make_shared<net::tcp_connection>(std::move(socket));
            net::asio::co_spawn(m_acceptor.get_executor(), respond(connection),
                                net::asio::detached);
        }
    }
    net::task<> respond(std::shared_ptr<net::tcp_connection> connection) {
        std::string& input = connection->input();
        while (input.find("\r\n\r\n") == std::string::npos) {
            const net::io_error ec = co_await connection->read_more();
            if (ec) {
                co_return;
            }
        }
        constexpr std::string_view id_header = "Attempt-Id: ";
        const std::size_t id_at = input.find(id_header) + id_header.size();
        const std::string id = input.substr(id_at, input.find("\r\n", id_at) - id_at);
        const std::string response =
            str_cat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id,
                    "\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n", m_body);
        co_await connection->write(response);
        connection->close();
    }

    std::string m_endpoint;
    net::tcp::acceptor m_acceptor;
    std::string m_body;
};

class response_checks {
public:
    response_checks() : m_target(m_fleet.loop.get_executor()) {
        m_target.start();
        m_fleet.memory.put("servers/i-1",
                           str_cat(R"({"service":"s","address":")", m_target.endpoint(),
                                   R"(","zone":"a","version":"v1","slots":8,)",
                                   R"("state":"ready","seq":1,"born":1})"));
        m_fleet.add_daemon("entry-1", true, false);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<daemon_fixture::response> send(std::string id, std::string path) {
        net::http_request request = daemon_fixture::request(id, path);
        request.body.clear();
        co_return co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), std::move(request));
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        m_target.set_body(whole_stream);
        const time_point end = steady_clock()() + seconds(10);
        daemon_fixture::response got;
        int sent = 0;
        while (got.status != 200 && steady_clock()() < end) {
            got = co_await send(str_cat("whole-", ++sent), "/o/x");
        }
        require(got.complete && got.body == whole_stream,
                "a stream that ends with its connection arrives whole and complete");
        m_target.set_body(cut_stream);
        const auto once = co_await send("cut-once", "/o/x");
        require(!(once.status == 200 && once.complete),
                "a stream that ends inside an event does not look complete");
        const auto resumed = co_await send("cut-resumed", "/p/x");
        require(!(resumed.status == 200 && resumed.complete),
                "nor does one that may be resumed, while every run ends inside an event");
    }

    daemon_fixture m_fleet;
    unframed_target m_target;
};

} // namespace

int main() {
    response_checks checks;
    checks.run();
}
