/// \file
/// Guards against whole responses without framing that arrive as incomplete, are repeated or get
/// lost though their target goes on running.
#include "platform/fixture/job_calls.hpp"
#include "platform/fixture/raw_target_fixture.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int requests = 6;
/// Targets that may refuse a request before it fails.
constexpr int max_refusals = 4;
/// A sound target may be silent for about a second.
constexpr duration report_delay = milliseconds(700);

class response_checks : raw_target_fixture {
public:
    response_checks() {
        for (int i = 0; i < target_count; ++i) {
            add_target();
        }
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    static constexpr int target_count = 6;

    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host);
        m_respond = [this](const listed_target&, const net::http_request& request) {
            return respond(request);
        };
        co_await check_all("sound: ");
        co_await check_items("sound");
        m_respond = [this](listed_target& target, const net::http_request& request) {
            target.server.set_report_delay(report_delay);
            return respond(request);
        };
        co_await check_all("report delayed at the end: ");
        co_await check_items("delayed");
        set_report_delays(duration::zero());
        m_is_rest_framed = false;
        co_await check_all("empty rest without framing: ");
        co_await check_items("empty");
        m_is_rest_framed = true;
        m_refuses_rest = true;
        co_await check_all("rest refused: ");
        co_await check_items("refused");
        m_refuses_rest = false;
        co_await check_leaving();
    }

    /// What has run, counted apart from what was only asked for events after the last one.
    struct run_counts {
        int whole = 0;
        int rests = 0;
    };

    raw_target::response respond(const net::http_request& request) {
        if (is_plain(request) || first_event(request) == 1) {
            ++m_counts.whole;
            return make_whole(request);
        }
        require(first_event(request) == events + 1, "only events after the last one are asked for");
        ++m_counts.rests;
        if (m_refuses_rest) {
            return {.bytes = str_cat("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
                                     "Attempt-Id: ", request.headers.get("Attempt-Id"),
                                     "\r\nContent-Length: 0\r\n\r\n")};
        }
        return m_is_rest_framed
                   ? make_whole(request)
                   : raw_target::response{.bytes = make_head(request, "text/event-stream")};
    }

    void set_report_delays(duration delay) {
        for (const auto& target : m_targets) {
            target->server.set_report_delay(delay);
        }
    }

    net::task<> check_all(std::string_view what) {
        for (const std::string_view prefix : {"/p/", "/o/", "/s/"}) {
            m_counts = {};
            int whole = 0;
            for (int i = 0; i < requests; ++i) {
                set_report_delays(duration::zero());
                const bool got_whole = co_await is_served_whole(prefix);
                whole += got_whole ? 1 : 0;
            }
            require(whole == requests, str_cat(what, whole, " of ", requests, " responses on ",
                                               prefix, " arrived whole and complete"));
            require(m_counts.whole == requests, str_cat(what, requests, " requests on ", prefix,
                                                        " ran ", m_counts.whole, " times"));
            // Only a stream that may be resumed can be asked for its rest, by one run.
            const int rests = prefix == "/p/" ? requests : 0;
            const int most_rests = m_refuses_rest ? max_refusals * rests : rests;
            require(m_counts.rests >= rests && m_counts.rests <= most_rests,
                    str_cat(what, requests, " responses on ", prefix, " were asked for a rest ",
                            m_counts.rests, " times"));
        }
    }
    net::task<bool> is_served_whole(std::string_view prefix) {
        const daemon_fixture::response got = co_await call(m_host, prefix);
        co_return is_whole(got, prefix == "/s/" ? std::string(plain_body) : make_events(1, events));
    }

    /// A target that announces its end still runs: it gets no further requests, but what it has
    /// sent counts.
    net::task<> check_leaving() {
        m_respond = [this](listed_target& target, const net::http_request& request) {
            const bool is_leaving = m_leaving_left > 0;
            m_leaving_left -= is_leaving ? 1 : 0;
            target.server.set_report_delay(duration::zero());
            return make_whole(request, is_leaving ? "Server-Leaving: 1\r\n" : "");
        };
        for (const std::string_view prefix : {"/p/", "/o/", "/s/"}) {
            m_leaving_left = 1;
            const bool whole = co_await is_served_whole(prefix);
            require(whole, str_cat("leaving: a response on ", prefix, " arrives whole"));
            require(m_leaving_left == 0, "a target that leaves responds");
        }
    }

    net::task<> check_items(std::string job) {
        constexpr std::size_t items = 12;
        std::string text;
        for (std::uint64_t id = 1; id <= events; ++id) {
            text += str_cat(id == 1 ? "" : "\n", "e", id);
        }
        m_counts = {};
        co_await submit_job(m_fleet, m_host, job, items);
        const nlohmann::json all = co_await read_results(m_fleet, m_host, job, items);
        std::size_t whole = 0;
        for (const auto& each : all) {
            whole += each["state"] == "complete" && each["output"] == text ? 1 : 0;
        }
        require(whole == items, str_cat(job, ": ", whole, " of ", items, " texts were whole"));
        require(m_counts.whole == static_cast<int>(items),
                str_cat(job, ": ", items, " items ran ", m_counts.whole, " times"));
        // As with streams, a refusal tells nothing, so the question is repeated.
        const int rests = static_cast<int>(items);
        const int wanted_rests = m_refuses_rest ? max_refusals * rests : rests;
        require(
            m_counts.rests == wanted_rests,
            str_cat(job, ": ", items, " items were asked for a rest ", m_counts.rests, " times"));
    }

    const std::string m_host = "entry-1";
    run_counts m_counts;
    /// Whether a response without events has a length.
    bool m_is_rest_framed = true;
    /// Whether targets refuse to run requests for events after the last one.
    bool m_refuses_rest = false;
    /// Number of responses that announce the end of their target.
    int m_leaving_left = 0;
};

} // namespace

int main() {
    response_checks checks;
    checks.run();
}
