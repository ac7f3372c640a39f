/// \file
/// Guards against responses without framing that look complete though something between host and
/// target ended them in order, together with other responses of the target but not with idle
/// connections.
#include "platform/fixture/raw_target_fixture.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int requests = 12;
constexpr std::uint64_t events_before_end = 4;
/// How long a target takes for an event, and so for one that does not come.
constexpr duration event_interval = milliseconds(20);
/// How long the framed response beside it is open at most.
constexpr duration other_duration = seconds(20);

class connection_checks : raw_target_fixture {
public:
    connection_checks() {
        add_target();
        m_respond = [this](listed_target& target, const net::http_request& request) {
            return respond(target, request);
        };
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// A framed stream goes on until its connection is ended; a stream without framing ends with
    /// it.
    raw_target::response respond(listed_target& target, const net::http_request& request) {
        const bool is_framed = request.target == m_framed;
        if (!is_framed && !request.target.starts_with("/o/")) {
            return make_whole(request);
        }
        if (is_framed) {
            ++m_framed_runs;
            return {.bytes = str_cat(
                        make_head(request, "text/event-stream", "Content-Length: 100000\r\n"),
                        make_events(1, events_before_end)),
                    .end_delay = other_duration};
        }
        return {.bytes = str_cat(make_head(request, "text/event-stream"),
                                 make_events(1, events_before_end)),
                .end_delay = event_interval,
                .at_end = [&target] { target.server.end_busy_connections(); }};
    }

    net::task<> begin_framed(std::string path) {
        net::http_request request = daemon_fixture::request(str_cat("framed-", path), path);
        (void)co_await m_fleet.call(m_fleet.caller_endpoint(m_host), std::move(request));
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host, "/s/x");
        int cut = 0;
        for (int i = 0; i < requests; ++i) {
            m_framed = str_cat("/o/framed-", i);
            net::asio::co_spawn(m_fleet.loop, begin_framed(m_framed), net::asio::detached);
            co_await m_fleet.eventually("the framed stream begins",
                                        [this, i] { return m_framed_runs == i + 1; });
            const daemon_fixture::response got = co_await call(m_host, "/o/");
            cut += is_cut(got, make_events(1, events)) ? 1 : 0;
        }
        require(cut == 0, str_cat(cut, " of ", requests, " streams ended too early"));
        co_await check_pairs();
    }

    /// Two streams without framing end together, and the witness of one of them.
    net::task<> check_pairs() {
        m_respond = [this](listed_target& target, const net::http_request& request) {
            if (!request.target.starts_with("/o/")) {
                return make_whole(request);
            }
            const bool is_second = ++m_pair_runs % 2 == 0;
            raw_target::response out{.bytes = str_cat(make_head(request, "text/event-stream"),
                                                      make_events(1, events_before_end)),
                                     .end_delay = is_second ? event_interval : other_duration};
            if (is_second) {
                out.at_end = [&target] {
                    target.server.end_idle_connection();
                    target.server.end_busy_connections();
                };
            }
            return out;
        };
        for (int i = 0; i < requests; ++i) {
            m_pair_ends = 0;
            for (int k = 0; k < 2; ++k) {
                net::asio::co_spawn(m_fleet.loop, call_in_pair(), net::asio::detached);
            }
            co_await m_fleet.eventually("both streams end", [this] { return m_pair_ends == 2; });
        }
        require(m_pair_cut == 0,
                str_cat(m_pair_cut, " of ", 2 * requests, " streams of pairs ended too early"));
    }
    net::task<> call_in_pair() {
        const daemon_fixture::response got = co_await call(m_host, "/o/");
        m_pair_cut += is_cut(got, make_events(1, events)) ? 1 : 0;
        ++m_pair_ends;
    }

    const std::string m_host = "entry-1";
    /// Path of the framed stream that runs.
    std::string m_framed;
    int m_framed_runs = 0;
    int m_pair_runs = 0;
    int m_pair_ends = 0;
    int m_pair_cut = 0;
};

} // namespace

int main() {
    connection_checks checks;
    checks.run();
}
