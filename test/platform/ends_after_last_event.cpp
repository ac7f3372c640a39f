/// \file
/// Guards against items that are never complete, and streams that nobody can end, because their
/// target's process ended right after their last event and what is left of them is empty.
#include "platform/fixture/job_calls.hpp"
#include "platform/fixture/raw_target_fixture.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int target_count = 8;
constexpr int targets_that_end = 4;
constexpr std::size_t items = 6;

class last_event_checks : raw_target_fixture {
public:
    last_event_checks() {
        for (int i = 0; i < target_count; ++i) {
            add_target();
        }
        m_respond = [this](listed_target& target, const net::http_request& request) {
            return respond(target, request);
        };
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    raw_target::response respond(listed_target& target, const net::http_request& request) {
        const std::uint64_t first = first_event(request);
        raw_target::response out{
            .bytes = str_cat(make_head(request, "text/event-stream"), make_events(first, events))};
        if (first == 1 && m_ends_left > 0 && !target.has_ended) {
            --m_ends_left;
            target.has_ended = true;
            out.ends_process = true;
            out.end_delay = milliseconds(5);
        }
        return out;
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host);
        co_await check_stream();
        m_ends_left = targets_that_end;
        const std::string job = "job";
        co_await submit_job(m_fleet, m_host, job, items);
        const nlohmann::json all = co_await read_results(m_fleet, m_host, job, items);
        require(m_ends_left < targets_that_end, "targets end while they run items");
        std::string text;
        for (std::uint64_t id = 1; id <= events; ++id) {
            text += str_cat(id == 1 ? "" : "\n", "e", id);
        }
        std::size_t whole = 0;
        for (const auto& each : all) {
            whole += each["state"] == "complete" && each["output"] == text ? 1 : 0;
        }
        require(whole == items, str_cat(whole, " of ", items, " texts were complete and whole"));
    }

    /// A caller gets all events, and the end at the latest when it takes the stream up.
    net::task<> check_stream() {
        m_ends_left = 1;
        const std::string id = "stream";
        net::http_request request = daemon_fixture::request(id);
        const std::string endpoint = m_fleet.caller_endpoint(m_host);
        daemon_fixture::response got = co_await m_fleet.call(endpoint, std::move(request));
        require(got.status == 200 && got.body == make_events(1, events),
                "a stream whose target ends after its last event has all events");
        for (int i = 0; i < 3 && !(got.complete && got.status == 200); ++i) {
            net::http_request resumption = daemon_fixture::request(str_cat("again-", i));
            resumption.headers.set("Last-Event-Id", std::to_string(events));
            resumption.headers.set("Resumes", id);
            got = co_await m_fleet.call(endpoint, std::move(resumption));
        }
        require(
            got.complete && got.status == 200,
            str_cat("the stream ends when it is taken up after its last event, got ", got.status));
    }

    const std::string m_host = "entry-1";
    int m_ends_left = 0;
};

} // namespace

int main() {
    last_event_checks checks;
    checks.run();
}
