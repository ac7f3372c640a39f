/// \file
/// Guards against requests and items that are not served because their targets answer questions for
/// their report with something else.
#include "platform/fixture/job_calls.hpp"
#include "platform/fixture/raw_target_fixture.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int requests = 6;

std::string make_answer(std::string_view status, std::string_view body,
                        std::string_view extra = "") {
    return str_cat("HTTP/1.1 ", status, "\r\nContent-Type: application/json\r\n", extra,
                   "Content-Length: ", body.size(), "\r\n\r\n", body);
}

/// One way of not answering a question for the report.
struct unusable_report {
    std::string name;
    raw_target::response answer;
    duration delay = {};
};

std::vector<unusable_report> unusable_reports() {
    const std::string usable = R"({"stage":"both","seq":0,"born":1})";
    return {
        {"404", {.bytes = make_answer("404 Not Found", "")}},
        {"500", {.bytes = make_answer("500 Internal Server Error", "{}")}},
        {"no start time", {.bytes = make_answer("200 OK", R"({"stage":"both","seq":0})")}},
        {"text as start time", {.bytes = make_answer("200 OK", R"({"born":"1"})")}},
        {"fraction as start time", {.bytes = make_answer("200 OK", R"({"born":1.5})")}},
        {"malformed body", {.bytes = make_answer("200 OK", R"({"born":)")}},
        {"malformed response", {.bytes = "%%% no response\r\n\r\n"}},
        {"close after it", {.bytes = make_answer("200 OK", usable, "Connection: close\r\n")}},
        {"close before it", {.bytes = ""}},
        {"reset", {.bytes = "", .reset = true}},
        {"silence", {.bytes = make_answer("200 OK", usable)}, seconds(30)},
    };
}

class report_checks : raw_target_fixture {
public:
    report_checks() {
        for (int i = 0; i < 4; ++i) {
            add_target();
        }
        m_respond = [](const listed_target&, const net::http_request& request) {
            const std::uint64_t first = first_event(request);
            if (first > events) {
                return make_whole(request);
            }
            const std::size_t length = make_events(first, events).size();
            return make_whole(request, str_cat("Content-Length: ", length, "\r\n"));
        };
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host);
        int number = 0;
        for (const unusable_report& each : unusable_reports()) {
            for (const auto& target : m_targets) {
                target->server.set_report([answer = each.answer] { return answer; });
                target->server.set_report_delay(each.delay);
            }
            for (const std::string_view prefix : {"/p/", "/o/"}) {
                co_await check_streams(each.name, prefix);
            }
            co_await check_items(each.name, str_cat("job-", ++number));
        }
    }

    net::task<> check_streams(std::string name, std::string_view prefix) {
        int whole = 0;
        std::string others;
        for (int i = 0; i < requests; ++i) {
            const daemon_fixture::response got = co_await call(m_host, prefix);
            const bool got_whole = is_whole(got, make_events(1, events));
            whole += got_whole ? 1 : 0;
            others += got_whole ? "" : str_cat(" ", got.status);
        }
        require(whole == requests, str_cat(name, ": ", whole, " of ", requests, " streams on ",
                                           prefix, " were served; the others got", others));
    }

    net::task<> check_items(std::string name, std::string job) {
        constexpr std::size_t items = 6;
        co_await submit_job(m_fleet, m_host, job, items);
        const nlohmann::json all = co_await read_results(m_fleet, m_host, job, items);
        std::size_t complete = 0;
        for (const auto& each : all) {
            complete += each["state"] == "complete" ? 1 : 0;
        }
        require(complete == items,
                str_cat(name, ": ", complete, " of ", items, " items were complete"));
    }

    const std::string m_host = "entry-1";
};

} // namespace

int main() {
    report_checks checks;
    checks.run();
}
