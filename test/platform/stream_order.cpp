/// \file
/// Guards against resumable streams that reach the caller with a gap or a repetition and look
/// whole, when a target goes on at another event than it was asked for, skips one or numbers none.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/raw_target.hpp"

#include <array>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// What the targets send in one attempt.
struct attempt {
    std::string events;
    /// Whether the stream reaches its end; otherwise it breaks off.
    bool ends = true;
};

struct row {
    std::string what;
    /// The last one is repeated.
    std::vector<attempt> attempts;
    /// Event after which the caller takes the stream up; empty for a new stream.
    std::string resume_after;
    /// All that the caller may get. A part of it is allowed if it doesn't look whole.
    std::string whole;
};

std::string numbered(int first, int last) {
    std::string out;
    for (int id = first; id <= last; ++id) {
        str_append(out, "id: ", id, "\ndata: e", id, "\n\n");
    }
    return out;
}

const std::vector<row> rows = {
    {"a target that goes on too late",
     {{numbered(1, 2), false}, {numbered(4, 5)}, {numbered(3, 5)}},
     "",
     numbered(1, 5)},
    {"a target that starts over", {{numbered(1, 2), false}, {numbered(1, 5)}}, "", numbered(1, 5)},
    {"a target that numbers its events anew within a stream",
     {{numbered(1, 2) + numbered(1, 5)}},
     "",
     numbered(1, 5)},
    {"a target that skips an event",
     {{numbered(1, 2) + numbered(4, 5)}, {numbered(3, 5)}},
     "",
     numbered(1, 5)},
    {"a target that goes on too late for the caller",
     {{numbered(4, 5)}, {numbered(3, 5)}},
     "2",
     numbered(3, 5)},
    {"targets that number no events",
     {{"data: a\n\ndata: b\n\n", false}, {"data: a\n\ndata: b\n\ndata: c\n\n"}},
     "",
     "data: a\n\ndata: b\n\ndata: c\n\n"},
};

class order_checks {
public:
    order_checks()
        : m_targets{raw_target(m_fleet.loop.get_executor()),
                    raw_target(m_fleet.loop.get_executor()),
                    raw_target(m_fleet.loop.get_executor())} {
        int number = 0;
        for (raw_target& target : m_targets) {
            target.set_responder(
                [this](const net::http_request& request) { return respond(request); });
            target.start();
            m_fleet.memory.put(str_cat("servers/i-", ++number),
                               str_cat(R"({"service":"s","address":")", target.endpoint(),
                                       R"(","zone":"a","version":"v1","slots":8,)",
                                       R"("state":"ready","seq":1,"born":1})"));
        }
        m_fleet.add_daemon("entry-1", true, false);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    raw_target::response respond(const net::http_request& request) {
        const std::size_t last = m_attempts.size() - 1;
        const attempt& now = m_attempts[std::min(m_next_attempt++, last)];
        const std::string head =
            str_cat("HTTP/1.1 200 OK\r\nAttempt-Id: ", request.headers.get("Attempt-Id"),
                    "\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
        return {str_cat(head, net::encode_chunk(now.events), now.ends ? net::last_chunk : "")};
    }

    net::task<> run_checks() {
        m_attempts = {{numbered(1, 5)}};
        m_fleet.configure(1);
        const std::string path = "/t/x";
        const std::string host = "entry-1";
        co_await m_fleet.wait_until_served(host, path);
        int number = 0;
        for (const row& each : rows) {
            m_attempts = each.attempts;
            m_next_attempt = 0;
            net::http_request request = daemon_fixture::request(str_cat("order-", ++number), path);
            if (!each.resume_after.empty()) {
                request.headers.set("Last-Event-Id", each.resume_after);
                request.headers.set("Resumes", "order-0");
            }
            const std::string endpoint = m_fleet.caller_endpoint(host);
            const auto got = co_await m_fleet.call(endpoint, std::move(request));
            const bool is_whole = got.complete && got.body == each.whole;
            const bool is_part = !got.complete && each.whole.starts_with(got.body);
            require(got.status == 200 && (is_whole || is_part),
                    str_cat(each.what,
                            ": the caller gets the events in order or a stream that "
                            "breaks off; ",
                            got.complete ? "whole" : "broken off", " came:\n", got.body));
        }
    }

    daemon_fixture m_fleet;
    std::array<raw_target, 3> m_targets;
    std::vector<attempt> m_attempts;
    std::size_t m_next_attempt = 0;
};

} // namespace

int main() {
    order_checks checks;
    checks.run();
}
