/// \file
/// Guards against resumable streams without framing that look complete though their connection was
/// closed between two events, because no run could be asked for what follows.
#include "platform/fixture/raw_target_fixture.hpp"

#include <cstdint>
#include <functional>
#include <optional>
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
constexpr duration deadline = milliseconds(400);
/// Time before the deadline at which a connection ends. Its end is looked at for 50 ms, and then
/// less than the 50 ms that a retry needs are left.
constexpr duration end_before_deadline = milliseconds(75);

class rest_checks : raw_target_fixture {
public:
    rest_checks() : m_target(add_target()) {
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
        co_await check_sound();
        co_await check_withdrawn();
        co_await check_rest("the rest is refused: ", "/p/", refuse);
        co_await check_rest("the run for the rest is reset: ", "/p/", reset);
        co_await check_rest("two runs for the rest are reset: ", "/t/", reset);
        co_await check_rest("the run for the rest fails: ", "/p/", fail);
        co_await check_deadline();
        co_await check_repeated();
    }

    static raw_target::response refuse(const net::http_request& request) {
        return {.bytes = str_cat("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
                                 "Attempt-Id: ", request.headers.get("Attempt-Id"),
                                 "\r\nContent-Length: 0\r\n\r\n")};
    }
    static raw_target::response reset(const net::http_request&) {
        return {.bytes = "", .reset = true};
    }
    static raw_target::response fail(const net::http_request& request) {
        return {.bytes = str_cat("HTTP/1.1 500 Internal Server Error\r\nServer-Seal: s\r\n",
                                 "Attempt-Id: ", request.headers.get("Attempt-Id"),
                                 "\r\nContent-Length: 0\r\n\r\n")};
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
    net::task<daemon_fixture::response> take_up(std::string id, std::uint64_t last,
                                                std::string prefix = "/p/") {
        net::http_request request = make_request(next_id(), prefix);
        request.headers.set("Last-Event-Id", std::to_string(last));
        request.headers.set("Resumes", id);
        co_return co_await send(std::move(request));
    }
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

    /// The target that has sent a whole stream is the only one, and tells that nothing follows.
    net::task<> check_sound() {
        int whole = 0;
        for (int i = 0; i < streams; ++i) {
            const daemon_fixture::response got = co_await call(m_host, "/p/");
            whole += is_whole(got, make_events(1, events)) ? 1 : 0;
        }
        require(whole == streams, str_cat("one target: ", whole, " of ", streams,
                                          " whole streams arrived whole and complete"));
    }

    /// Waits until the host has no target.
    net::task<> wait_until_withdrawn() {
        const time_point end = steady_clock()() + seconds(10);
        int status = 200;
        while (status != 503 && steady_clock()() < end) {
            const daemon_fixture::response got = co_await call(m_host, "/s/");
            status = got.status;
        }
        require(status == 503, "the host learns that its target is withdrawn");
    }

    net::task<> check_withdrawn() {
        int cut_streams = 0;
        int broken_off = 0;
        int taken_up = 0;
        for (int i = 0; i < streams; ++i) {
            const std::string id = next_id();
            const daemon_fixture::response got = co_await send_withdrawn(id);
            cut_streams += is_cut(got, make_events(1, events)) ? 1 : 0;
            broken_off += is_broken_off(got, events_before_end) ? 1 : 0;
            write_entry(m_target);
            co_await m_fleet.wait_until_served(m_host);
            const daemon_fixture::response rest = co_await take_up(id, events_before_end);
            taken_up += is_whole(rest, make_events(events_before_end + 1, events)) ? 1 : 0;
        }
        const std::string what = "target withdrawn: ";
        require(cut_streams == 0,
                str_cat(what, cut_streams, " of ", streams, " streams ended too early"));
        require(broken_off == streams,
                str_cat(what, broken_off, " of ", streams, " streams broke off"));
        require(taken_up == streams, str_cat(what, taken_up, " of ", streams,
                                             " streams went on when they were taken up"));
    }
    /// Sends a stream whose target is withdrawn, and whose connection is closed after that.
    net::task<daemon_fixture::response> send_withdrawn(std::string id) {
        bool is_held = true;
        bool is_sent = false;
        m_answer = [&](const net::http_request& request) {
            if (is_plain(request)) {
                return make_whole(request);
            }
            raw_target::response out = cut(request);
            out.is_held = [&] { return is_held; };
            is_sent = true;
            return out;
        };
        std::optional<daemon_fixture::response> got;
        net::asio::co_spawn(
            m_fleet.loop,
            [&]() -> net::task<> {
                net::http_request request = make_request(id, "/p/");
                got = co_await send(std::move(request));
            },
            net::asio::detached);
        co_await m_fleet.eventually("the stream begins", [&] { return is_sent; });
        m_fleet.memory.erase("servers/" + m_target.id);
        co_await wait_until_withdrawn();
        is_held = false;
        co_await m_fleet.eventually(
            "the stream ends", [&] { return got.has_value(); }, seconds(10));
        m_answer = nullptr;
        co_return std::move(*got);
    }

    /// The run for the rest is answered by \p respond.
    net::task<> check_rest(std::string what, std::string prefix, answer respond) {
        co_await check_broken_off(std::move(what), std::move(prefix), events_before_end,
                                  [respond = std::move(respond)](const net::http_request& request) {
                                      return first_event(request) == 1 ? cut(request)
                                                                       : respond(request);
                                  });
    }

    net::task<> check_deadline() {
        int cut_streams = 0;
        m_answer = [](const net::http_request& request) {
            raw_target::response out = cut(request);
            out.end_delay = deadline - end_before_deadline;
            return out;
        };
        for (int i = 0; i < streams; ++i) {
            net::http_request request = make_request(next_id(), "/p/");
            request.headers.set("Deadline-Ms", std::to_string(to_ms(deadline)));
            const daemon_fixture::response got = co_await send(std::move(request));
            cut_streams += is_cut(got, make_events(1, events)) ? 1 : 0;
        }
        m_answer = nullptr;
        require(cut_streams == 0, str_cat("deadline too near: ", cut_streams, " of ", streams,
                                          " streams ended too early"));
    }

    /// The target repeats only what the caller of a stream that it takes up already has.
    net::task<> check_repeated() {
        int whole = 0;
        int cut_streams = 0;
        for (int i = 0; i < streams; ++i) {
            const std::string id = next_id();
            m_answer = cut;
            net::http_request request = make_request(id, "/p/");
            (void)co_await send(std::move(request));
            int runs = 0;
            m_answer = [&](const net::http_request& resumption) {
                if (++runs > 1) {
                    return make_whole(resumption);
                }
                return raw_target::response{.bytes =
                                                str_cat(make_head(resumption, "text/event-stream"),
                                                        make_events(1, events_before_end)),
                                            .end_delay = event_interval};
            };
            const daemon_fixture::response got = co_await take_up(id, 2 * events_before_end, "/t/");
            const std::string rest = make_events(2 * events_before_end + 1, events);
            whole += is_whole(got, rest) ? 1 : 0;
            cut_streams += is_cut(got, rest) ? 1 : 0;
        }
        m_answer = nullptr;
        const std::string what = "repeated events only: ";
        require(cut_streams == 0,
                str_cat(what, cut_streams, " of ", streams, " streams ended too early"));
        require(whole == streams, str_cat(what, whole, " of ", streams, " streams went on"));
    }

    const std::string m_host = "entry-1";
    listed_target& m_target;
    /// How the target responds; as a whole if empty.
    answer m_answer;
    int m_streams = 0;
};

} // namespace

int main() {
    rest_checks checks;
    checks.run();
}
