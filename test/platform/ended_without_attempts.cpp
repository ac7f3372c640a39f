/// \file
/// Guards against resumable streams without framing that look complete though their connection was
/// closed between two events by the last run that the route allows.
#include "platform/fixture/raw_target_fixture.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int streams = 6;
constexpr std::uint64_t events_before_end = 4;
/// How long a target stays silent before something closes the connection of its response.
constexpr duration event_interval = milliseconds(20);
class attempt_checks : raw_target_fixture {
public:
    attempt_checks() {
        add_target();
        m_respond = [this](const listed_target&, const net::http_request& request) {
            return m_answer ? m_answer(request) : make_whole(request);
        };
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using answer = std::function<raw_target::response(const net::http_request&)>;

    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host);
        co_await check_broken_off("attempts used up, each ends in order: ", "/p/",
                                  2 * events_before_end, cut);
        co_await check_reset_before();
    }

    /// Four events from the first one that is asked for on, after which the connection is closed.
    static raw_target::response cut(const net::http_request& request) {
        const std::uint64_t first = first_event(request);
        return {.bytes = str_cat(make_head(request, "text/event-stream"),
                                 make_events(first, first + events_before_end - 1)),
                .end_delay = event_interval};
    }

    static net::http_request make_request(std::string id, std::string_view prefix) {
        net::http_request out = daemon_fixture::request(id, str_cat(prefix, id));
        out.body = "body-" + id;
        return out;
    }
    net::task<daemon_fixture::response> send(net::http_request request) {
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(m_host), std::move(request));
    }
    std::string next_id() { return str_cat("stream-", ++m_streams); }
    /// Whether \p got has broken off after event \p last.
    static bool is_broken_off(const daemon_fixture::response& got, std::uint64_t last) {
        return got.status == 200 && !got.complete && got.body == make_events(1, last);
    }
    /// Sends streams that are answered by \p respond, and checks that they break off after \p last.
    net::task<> check_broken_off(std::string what, std::string prefix, std::uint64_t last,
                                 answer respond) {
        m_answer = std::move(respond);
        int cut_streams = 0;
        int broken_off = 0;
        for (int i = 0; i < streams; ++i) {
            net::http_request request = make_request(next_id(), prefix);
            const daemon_fixture::response got = co_await send(std::move(request));
            cut_streams += is_cut(got, make_events(1, events)) ? 1 : 0;
            broken_off += is_broken_off(got, last) ? 1 : 0;
        }
        m_answer = nullptr;
        require(cut_streams == 0,
                str_cat(what, cut_streams, " of ", streams, " streams ended too early"));
        require(broken_off == streams, str_cat(what, broken_off, " of ", streams,
                                               " streams broke off after event ", last));
    }

    /// The first run breaks off, so that the second one is the last that the route allows.
    net::task<> check_reset_before() {
        const listed_target& second = add_target();
        const time_point end = steady_clock()() + seconds(10);
        while (second.server.received() == 0 && steady_clock()() < end) {
            (void)co_await call(m_host, "/s/");
        }
        require(second.server.received() > 0, "the second target gets requests");
        co_await check_broken_off("attempts used up by one that is reset: ", "/p/",
                                  2 * events_before_end, [](const net::http_request& request) {
                                      raw_target::response out = cut(request);
                                      out.reset = first_event(request) == 1;
                                      return out;
                                  });
    }

    const std::string m_host = "entry-1";
    /// How the target responds; as a whole if empty.
    answer m_answer;
    int m_streams = 0;
};

} // namespace

int main() {
    attempt_checks checks;
    checks.run();
}
