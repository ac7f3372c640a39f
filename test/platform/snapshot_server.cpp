/// \file
/// Guards against a daemon that sends its snapshot to all others at once over a link that cannot
/// carry them, and against changes of the call that daemons of an older build cannot take.
#include "base/compression.hpp"
#include "base/random_source.hpp"
#include "net/endpoint.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "store/snapshot_codec.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// More than the socket buffers of a connection hold, even after compression.
constexpr int large_value_bytes = 16 * 1024 * 1024;

net::http_request snapshot_request() {
    net::http_request out;
    out.method = "GET";
    out.target = "/mirror?prefix=op/";
    out.headers.set("Host", "peer");
    return out;
}

/// The request of a daemon of this build that needs \p revision.
net::http_request new_request(std::uint64_t revision) {
    net::http_request out = snapshot_request();
    out.target += "&revision=" + std::to_string(revision);
    out.headers.set("Accept-Encoding", "deflate");
    return out;
}

class server_checks {
public:
    server_checks() { m_fleet.add_daemon("entry-1", true, false); }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        m_fleet.memory.put("op/large", secure_random_hex(large_value_bytes / 2));
        co_await check_compressed();
        co_await check_missing_revision();
        co_await check_busy();
    }

    net::task<daemon_fixture::response> fetch(net::http_request request) {
        return m_fleet.call(m_fleet.peer_endpoint("entry-1"), std::move(request));
    }
    net::task<int> fetch_status(std::uint64_t revision) {
        const auto got = co_await fetch(new_request(revision));
        co_return got.status;
    }

    /// Waits until the daemon has all that was written, and compares both encodings.
    net::task<> check_compressed() {
        const std::uint64_t revision = m_fleet.memory.items().at("op/large").revision;
        const time_point end = steady_clock()() + seconds(10);
        int status = 0;
        while (status != 200 && steady_clock()() < end) {
            status = co_await fetch_status(revision);
        }
        const auto raw = co_await fetch(snapshot_request());
        const auto packed = co_await fetch(new_request(revision));
        const auto unpacked = decompress(packed.body, 2 * large_value_bytes);
        require(raw.status == 200 && store::decode_snapshot(raw.body).has_value(),
                "a daemon of an older build gets a snapshot that it can read");
        require(unpacked == raw.body, "the compressed snapshot has the same content");
    }

    net::task<> check_missing_revision() {
        const int status = co_await fetch_status(1'000'000);
        require(status == 404,
                "a revision that the daemon does not have is not delivered, status " +
                    std::to_string(status));
    }

    /// Requests a snapshot and reads none of it until the result is closed.
    net::task<std::shared_ptr<net::tcp_connection>> stall_transfer() {
        const time_point deadline = steady_clock()() + seconds(30);
        auto opened = co_await net::http_client::connect(
            m_fleet.loop.get_executor(), m_fleet.peer_endpoint("entry-1"), deadline);
        require(opened.has_value(), "the daemon accepts a connection");
        const std::string bytes = serialize(new_request(1));
        co_await opened.value()->write(bytes);
        co_return opened.value();
    }

    net::task<> check_busy() {
        const auto stalled = co_await stall_transfer();
        const time_point end = steady_clock()() + seconds(10);
        int status = 0;
        while (status != 503 && steady_clock()() < end) {
            status = co_await fetch_status(1);
        }
        require(status == 503, "a daemon that sends a large snapshot turns others away");
        const auto older = co_await fetch(snapshot_request());
        require(older.status == 200 && older.complete,
                "a daemon of an older build, which would not ask another one, is served");
        stalled->close();
        while (status != 200 && steady_clock()() < end) {
            status = co_await fetch_status(1);
        }
        require(status == 200, "the daemon serves others again when a transfer has ended");
    }

    daemon_fixture m_fleet;
};

} // namespace

int main() {
    server_checks checks;
    checks.run();
}
