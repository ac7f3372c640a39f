/// \file
/// Guards against a target's response without end that a daemon reads, and keeps in memory, until
/// the caller's deadline.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/raw_target.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// The largest response that a daemon accepts.
constexpr std::size_t max_response = 16UL * 1024 * 1024;
/// What the target may send beside the limits of the daemon before it sees the close: the buffers
/// of both ends of a loopback connection.
constexpr std::size_t kernel_buffers = 16UL * 1024 * 1024;

/// A response: a head, the beginning of a body, and bytes that are repeated without end.
struct sample {
    std::string name;
    std::string path;
    std::string begin;
    std::string tail;
};

std::string stream_head(std::string_view framing) {
    return str_cat("HTTP/1.1 200 OK\r\n$Content-Type: text/event-stream\r\n", framing, "\r\n");
}

const std::string long_line(60'000, '0');
constexpr std::string_view chunked = "Transfer-Encoding: chunked\r\n";

const std::vector<sample> samples = {
    {"a head", "/s/x", "HTTP/1.1 200 OK\r\n$X: ", long_line},
    {"header fields", "/s/x", "HTTP/1.1 200 OK\r\n$", "X: y\r\n"},
    {"informational responses", "/s/x", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"the size of a chunk", "/s/x", str_cat("HTTP/1.1 200 OK\r\n$", chunked, "\r\n"), long_line},
    {"the extension of a chunk", "/s/x", str_cat("HTTP/1.1 200 OK\r\n$", chunked, "\r\n5;x="),
     long_line},
    {"a trailer", "/s/x", str_cat("HTTP/1.1 200 OK\r\n$", chunked, "\r\n0\r\nX: "), long_line},
    {"trailer fields", "/s/x", str_cat("HTTP/1.1 200 OK\r\n$", chunked, "\r\n0\r\n"), "X: y\r\n"},
    {"the size of a chunk of a stream", "/p/x",
     str_cat(stream_head(chunked), "f\r\nid: 1\ndata: a\n\n\r\n"), long_line},
    {"a body with a length", "/s/x", "HTTP/1.1 200 OK\r\n$Content-Length: 50000000000\r\n\r\n",
     long_line},
    {"a body without framing", "/s/x", "HTTP/1.1 200 OK\r\n$\r\n", long_line},
    {"chunks", "/s/x", str_cat("HTTP/1.1 200 OK\r\n$", chunked, "\r\n"),
     str_cat("ea60\r\n", long_line, "\r\n")},
    {"the first event of a stream", "/p/x", str_cat(stream_head(""), "data: "), long_line},
    {"a later event of a stream", "/p/x", str_cat(stream_head(""), "id: 1\ndata: a\n\ndata: "),
     long_line}};

class endless_checks {
public:
    endless_checks() : m_target(m_fleet.loop.get_executor()) {
        m_target.set_responder([this](const net::http_request& request) {
            return raw_target::response{with_headers(m_sample.begin, request), false,
                                        m_sample.tail};
        });
        m_target.start();
        m_fleet.memory.put("servers/i-1",
                           str_cat(R"({"service":"s","address":")", m_target.endpoint(),
                                   R"(","zone":"a","version":"v1","slots":32,)",
                                   R"("state":"ready","seq":1,"born":1})"));
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// Replaces the placeholder `$` by the headers that each response of a target carries.
    static std::string with_headers(std::string bytes, const net::http_request& request) {
        const std::size_t at = bytes.find('$');
        if (at != std::string::npos) {
            bytes.replace(at, 1,
                          str_cat("Attempt-Id: ", request.headers.get("Attempt-Id"),
                                  "\r\nServer-Seal: s\r\n"));
        }
        return bytes;
    }

    /// Sends requests until one has reached the target, for 10 seconds at most.
    net::task<daemon_fixture::response> send(std::string path) {
        const int received = m_target.received();
        const time_point end = steady_clock()() + seconds(10);
        daemon_fixture::response got;
        while (m_target.received() == received && steady_clock()() < end) {
            net::http_request request = daemon_fixture::request(std::to_string(++m_last_id), path);
            got = co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), std::move(request));
        }
        require(m_target.received() > received, "the request reaches the target");
        co_return got;
    }

    net::task<> run_checks() {
        for (const sample& each : samples) {
            m_sample = each;
            const std::size_t before = m_target.tail_bytes();
            const int received = m_target.received();
            const daemon_fixture::response got = co_await send(each.path);
            require(!got.complete || got.status == 502,
                    str_cat(each.name, " without end is no success, got ", got.status));
            co_await m_fleet.eventually(
                str_cat("the daemon closes the connection after ", each.name, " without end"),
                [&] { return m_target.endless_responses() == 0; });
            const auto runs = static_cast<std::size_t>(m_target.received() - received);
            const std::size_t limit = runs * (max_response + kernel_buffers);
            const std::size_t read = m_target.tail_bytes() - before;
            require(read <= limit,
                    str_cat(each.name, " without end is read up to ", limit, " bytes, got ", read));
        }
    }

    daemon_fixture m_fleet;
    raw_target m_target;
    sample m_sample;
    int m_last_id = 0;
};

} // namespace

int main() {
    endless_checks().run();
}
