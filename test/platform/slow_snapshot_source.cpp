/// \file
/// Guards against a configuration that never comes into force because its copy takes longer to
/// transfer than a fixed timeout, although bytes arrive all the while.
#include "base/text.hpp"
#include "fleet/message.hpp"
#include "net/endpoint.hpp"
#include "net/http_server.hpp"
#include "net/udp_socket.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "store/snapshot_codec.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// A configuration must be in force everywhere within this time.
constexpr duration in_force_bound = seconds(8);
/// The source sends a snapshot in this many parts, one in each interval: 2.5 seconds in total.
constexpr std::size_t parts = 10;
constexpr duration part_interval = milliseconds(250);
constexpr duration digest_interval = milliseconds(100);

/// Lets \p interval of the simulated link's time pass.
net::task<> pass_time(net::asio::io_context& loop, duration interval) {
    net::notification step(loop.get_executor());
    co_await step.wait_until(steady_clock()() + interval);
}

/// A daemon with a newer configuration and a slow link.
class slow_source {
public:
    slow_source(daemon_fixture& fleet, std::string endpoint)
        : m_fleet(fleet), m_endpoint(std::move(endpoint)), m_socket(fleet.loop.get_executor()),
          m_server(fleet.loop.get_executor(), {.endpoint = m_endpoint, .max_connections = 16},
                   [this](net::server_exchange& exchange) { return serve(exchange); }) {}

    void start() {
        require(m_server.start().has_value(), "the source listens");
        const auto own = net::parse_endpoint(m_endpoint).value();
        const auto opened =
            m_socket.open({own.address(), own.port()}, [](std::string_view, const auto&) {});
        require(opened.has_value(), "the source opens its socket");
    }
    /// Sends digests to \p to for as long as the test runs.
    net::task<> announce(std::string to) {
        const auto peer = net::parse_endpoint(to).value();
        fleet::load_digest digest;
        digest.host = "source";
        digest.incarnation = 1;
        digest.content_revisions = {revision, revision, revision};
        for (;;) {
            ++digest.sequence;
            m_socket.send(fleet::to_datagram(digest), {peer.address(), peer.port()});
            co_await pass_time(m_fleet.loop, digest_interval);
        }
    }

private:
    static constexpr std::uint64_t revision = 1000;

    net::task<> serve(net::server_exchange& exchange) {
        const std::string prefix = exchange.request().query("prefix").value_or("");
        store::mirror_snapshot snapshot{prefix, revision, {}};
        for (const auto& [key, item] : m_fleet.memory.items()) {
            if (key.starts_with(prefix)) {
                snapshot.items.push_back(item);
            }
        }
        const std::string body = store::encode_snapshot(snapshot);
        const std::size_t part = body.size() / parts + 1;
        net::http_response head;
        head.status = 200;
        co_await exchange.begin(std::move(head));
        for (std::size_t at = 0; at < body.size(); at += part) {
            co_await pass_time(m_fleet.loop, part_interval);
            const bool sent = co_await exchange.write(body.substr(at, part));
            if (!sent) {
                co_return;
            }
        }
        co_await exchange.finish();
    }

    daemon_fixture& m_fleet;
    std::string m_endpoint;
    net::udp_socket m_socket;
    net::http_server m_server;
};

net::task<> check_slow_source(daemon_fixture& fleet, slow_source& source) {
    fleet.configure(1);
    net::asio::co_spawn(fleet.loop, source.announce(fleet.peer_endpoint("entry-1")),
                        net::asio::detached);
    net::http_request ready;
    ready.method = "GET";
    ready.target = platform_adapter::readiness_path;
    const time_point end = steady_clock()() + in_force_bound;
    int status = 0;
    while (status != 200 && steady_clock()() < end) {
        const auto got = co_await fleet.call(fleet.readiness_endpoint("entry-1"), ready);
        status = got.status;
        co_await pass_time(fleet.loop, digest_interval);
    }
    require(status == 200, "a configuration whose copy takes 2.5 s to transfer comes into force");
}

} // namespace

int main() {
    daemon_fixture fleet;
    fleet.memory.refuse = [] { return true; };
    fleet.add_daemon("entry-1", true, false);
    slow_source source(fleet, free_endpoint(fleet.loop.get_executor()));
    source.start();
    fleet.run([&] { return check_slow_source(fleet, source); });
}
