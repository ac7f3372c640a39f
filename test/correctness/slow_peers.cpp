/// \file
/// Guards against connections that end because the peer leaves bytes unread for some seconds, as a
/// dead path does, and against dead paths that are not noticed.
#include "base/text.hpp"
#include "check.hpp"
#include "net/endpoint.hpp"
#include "net/http_exchange.hpp"
#include "net/http_server.hpp"
#include "stand_in/http_server_fixture.hpp"
#include "stand_in/slow_reader.hpp"

#include <algorithm>
#include <deque>
#include <linux/filter.h>
#include <memory>
#include <string>
#include <sys/socket.h>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// More than the kernel's buffers of a connection to a reader with small ones take.
constexpr std::size_t response_bytes = 600UL * 1024;
constexpr std::size_t request_bytes = 8UL * 1024 * 1024;
/// Longer than a dead path may go unnoticed, and than the probe after that takes.
constexpr duration pause = seconds(8);
constexpr duration patience = seconds(60);
constexpr int small_buffer = 64 * 1024;

/// Drops all packets that arrive at the socket, as a dead path does.
void cut(net::tcp::socket& socket) {
    sock_filter drop_all{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
    const sock_fprog program{.len = 1, .filter = &drop_all};
    require(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                         sizeof program) == 0,
            "the path is cut");
}

class slow_peer_checks {
public:
    slow_peer_checks()
        : m_fixture({}, [](net::server_exchange& exchange) { return respond(exchange); }) {}

    int run() { return m_fixture.run(check_all()); }

private:
    static net::task<> respond(net::server_exchange& exchange) {
        net::http_response response;
        response.status = 200;
        response.body.assign(response_bytes, 'x');
        co_await exchange.respond(std::move(response));
    }

    net::task<> check_all() {
        const std::string request =
            net::serialize(net::http_request{.method = "GET", .target = "/"});
        const auto executor = m_fixture.loop().get_executor();
        // Reads 16 KB every half second, for as long as the response takes.
        for (const int segment : {1460, 16 * 1024}) {
            m_readers.emplace_back(executor, m_fixture.endpoint(), request,
                                   reading_pace{.receive_buffer = small_buffer,
                                                .bytes_at_once = 16 * 1024,
                                                .segment = segment});
        }
        // Reads a little, nothing for some seconds, and then the rest.
        m_readers.emplace_back(executor, m_fixture.endpoint(), request,
                               reading_pace{.receive_buffer = small_buffer,
                                            .bytes_at_once = 256 * 1024,
                                            .interval = duration::zero(),
                                            .first_interval = pause,
                                            .segment = 0});
        for (slow_reader& each : m_readers) {
            net::asio::co_spawn(executor, each.run(), net::asio::detached);
        }
        co_await check_slow_server();
        co_await check_dead_path();
        const std::function<bool()> have_ended = [&] {
            return std::all_of(m_readers.begin(), m_readers.end(),
                               [](const slow_reader& each) { return each.has_ended(); });
        };
        co_await m_fixture.wait_until(have_ended, patience);
        for (const slow_reader& each : m_readers) {
            require(each.is_complete(),
                    str_cat("a client that reads slowly gets its whole response: ", each.bytes(),
                            " of ", response_bytes, " bytes"));
        }
    }

    /// A server that reads nothing of a long request for some seconds.
    net::task<> check_slow_server() {
        auto pair = co_await connect();
        net::http_exchange exchange(pair.connection);
        net::http_request request{.method = "POST", .target = "/"};
        request.body.assign(request_bytes, 'x');
        pair.connection->set_deadline(steady_clock()() + patience);
        exchange.send(request);
        co_await net::sleep_for(pause);
        std::size_t got = 0;
        net::io_error ec;
        std::string buffer(256 * 1024, '\0');
        while (got < request_bytes && !ec) {
            got += co_await pair.peer->async_read_some(net::asio::buffer(buffer),
                                                       net::store_error(ec));
        }
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if (!ec) {
            co_await net::asio::async_write(*pair.peer, net::asio::buffer(answer),
                                            net::store_error(ec));
        }
        const result<void> read = co_await exchange.read_all();
        require(!ec && read && exchange.response().status == 200,
                "a request to a server that reads slowly is sent whole");
    }

    /// The path dies with bytes on their way, and behind a window that is shut.
    net::task<> check_dead_path() {
        for (const std::size_t bytes : {std::size_t{100}, request_bytes}) {
            auto pair = co_await connect();
            // An end that the deadline brings is told apart by timed_out().
            pair.connection->set_deadline(steady_clock()() + patience);
            if (bytes == request_bytes) {
                const std::string text(request_bytes, 'x');
                (void)pair.connection->write_available(text);
                // A full window: the peer holds bytes, and the kernel takes no more.
                const std::function<bool()> is_shut = [&] {
                    return pair.peer->available() > 0 && pair.connection->write_available("x") == 0;
                };
                co_await m_fixture.wait_until(is_shut, patience);
                require(is_shut(), "the window is shut");
                cut(*pair.peer);
            } else {
                cut(*pair.peer);
                (void)pair.connection->write_available(std::string(bytes, 'x'));
            }
            const net::io_error ec = co_await pair.connection->read_more();
            require(ec && !pair.connection->timed_out(), "a dead path ends the connection");
            require(pair.connection->has_peer_ended(), "it is known to have ended");
        }
        auto pair = co_await connect();
        bool is_noticed = false;
        pair.connection->watch_for_close([&] { is_noticed = true; });
        cut(*pair.peer);
        (void)pair.connection->write_available("x");
        const std::function<bool()> has_noticed = [&] { return is_noticed; };
        co_await m_fixture.wait_until(has_noticed, patience);
        require(is_noticed, "who waits for the end of the connection learns of it");
    }

    struct connected_pair {
        std::shared_ptr<net::tcp_connection> connection;
        std::shared_ptr<net::tcp::socket> peer;
    };

    /// A connection whose other end reads only what the test takes.
    net::task<connected_pair> connect() {
        const auto executor = m_fixture.loop().get_executor();
        const net::tcp::endpoint endpoint = net::parse_endpoint(free_endpoint(executor)).value();
        net::tcp::acceptor acceptor(executor);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(net::asio::socket_base::reuse_address(true));
        acceptor.set_option(net::asio::socket_base::receive_buffer_size(small_buffer));
        acceptor.bind(endpoint);
        acceptor.listen();
        connected_pair out;
        out.connection = std::make_shared<net::tcp_connection>(net::tcp::socket(executor));
        const net::io_error ec = co_await out.connection->connect(endpoint);
        require(!ec, "the connection opens");
        net::io_error accepted;
        out.peer = std::make_shared<net::tcp::socket>(
            co_await acceptor.async_accept(net::store_error(accepted)));
        require(!accepted, "the connection is accepted");
        co_return out;
    }

    http_server_fixture m_fixture;
    std::deque<slow_reader> m_readers;
};

} // namespace

int main() {
    slow_peer_checks checks;
    return checks.run();
}
