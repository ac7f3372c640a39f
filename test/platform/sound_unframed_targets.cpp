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
        co_await check_all("sound: ");
        co_await check_items("sound");
        m_respond = [](listed_target& target, const net::http_request& request) {
            target.server.set_report_delay(report_delay);
            return make_whole(request);
        };
        co_await check_all("report delayed at the end: ");
        co_await check_items("delayed");
        set_report_delays(duration::zero());
        co_await check_leaving();
    }

    void set_report_delays(duration delay) {
        for (const auto& target : m_targets) {
            target->server.set_report_delay(delay);
        }
    }

    net::task<> check_all(std::string_view what) {
        for (const std::string_view prefix : {"/p/", "/o/", "/s/"}) {
            const int received_before = received();
            int whole = 0;
            for (int i = 0; i < requests; ++i) {
                set_report_delays(duration::zero());
                const bool got_whole = co_await is_served_whole(prefix);
                whole += got_whole ? 1 : 0;
            }
            require(whole == requests, str_cat(what, whole, " of ", requests, " responses on ",
                                               prefix, " arrived whole and complete"));
            require(received() - received_before == requests,
                    str_cat(what, requests, " requests on ", prefix, " ran ",
                            received() - received_before, " times"));
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
        const int received_before = received();
        co_await submit_job(m_fleet, m_host, job, items);
        const nlohmann::json all = co_await read_results(m_fleet, m_host, job, items);
        std::size_t whole = 0;
        for (const auto& each : all) {
            whole += each["state"] == "complete" && each["output"] == text ? 1 : 0;
        }
        require(whole == items, str_cat(job, ": ", whole, " of ", items, " texts were whole"));
        require(received() - received_before == items,
                str_cat(job, ": ", items, " items ran ", received() - received_before, " times"));
    }

    const std::string m_host = "entry-1";
    /// Number of responses that announce the end of their target.
    int m_leaving_left = 0;
};

} // namespace

int main() {
    response_checks checks;
    checks.run();
}
