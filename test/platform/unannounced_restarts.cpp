/// \file
/// Guards against streams that begin at a target which has started again, under its id and at its
/// address, before its entry has changed: they are served, and go on at no other version.
#include "platform/fixture/changed_engine_fixture.hpp"
#include "platform/fixture/restart_checks.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::size_t streams = 12;
constexpr std::string_view v1_prefix = "v1-";
constexpr std::string_view v2_prefix = "v2-";

/// Refuses requests that are resumed.
engine_action serve_new_only(const net::http_request& request) {
    return request.headers.get("Last-Event-Id").empty() ? engine_action::serve
                                                        : engine_action::refuse;
}
engine_action truncate_new_only(const net::http_request& request) {
    return request.headers.get("Last-Event-Id").empty() ? engine_action::truncate
                                                        : engine_action::refuse;
}

class restart_checks_at_begin : changed_engine_fixture {
public:
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await wait_until_served();
        // The same software version, but another start.
        m_engines[0]->set_started_at(2);
        co_await check_served(v1_prefix);
        m_engines[0]->set_started_at(3);
        m_engines[0]->set_event_prefix("v2-");
        co_await check_served(v2_prefix);
        co_await check_taken_up();
        co_await check_new_entry();
    }

    /// New streams are served by the restarted target, whose events have \p prefix.
    net::task<> check_served(std::string_view prefix) {
        m_engines[0]->set_default_action(serve_new_only);
        set_others(engine_action::refuse);
        std::size_t whole = 0;
        for (std::size_t i = 0; i < streams; ++i) {
            net::http_request request = make_request("served");
            const response got = co_await call(m_daemons[i % 2], std::move(request));
            whole += got.status == 200 && got.complete && has(got.body, str_cat(prefix, "e1\n")) &&
                             has(got.body, str_cat(prefix, "e5\n"))
                         ? 1
                         : 0;
        }
        require(whole == streams, str_cat(whole, " of ", streams, " streams were served by the ",
                                          "restarted target with ", prefix));
    }

    /// Streams that begin at the restarted target and break off go on at no other version, neither
    /// in the response nor when their callers take them up.
    net::task<> check_taken_up() {
        int mixed_in_response = 0;
        int mixed_by_caller = 0;
        std::size_t answered = 0;
        for (std::size_t i = 0; i < streams; ++i) {
            m_engines[0]->set_default_action(truncate_new_only);
            set_others(serve_resumed_only);
            net::http_request request = make_request("begun");
            const std::string id(request.headers.get("Attempt-Id"));
            const response begun = co_await call(m_daemons[0], std::move(request));
            require(has(begun.body, "v2-e2\n"),
                    "a stream begins at the restarted target, got " + begun.body);
            mixed_in_response += has(begun.body, "v1-") ? 1 : 0;
            m_engines[0]->set_default_action(engine_action::serve);
            net::http_request resumption = make_request("again");
            resumption.headers.set("Last-Event-Id", "2");
            resumption.headers.set("Resumes", id);
            const response rest = co_await call(m_daemons[i % 2], std::move(resumption));
            mixed_by_caller += has(rest.body, "v1-") ? 1 : 0;
            answered += rest.status == 200 || rest.status == 503 ? 1 : 0;
        }
        require(mixed_in_response == 0,
                str_cat(mixed_in_response, " of ", streams, " streams went on at another version"));
        require(mixed_by_caller == 0, str_cat(mixed_by_caller, " of ", streams,
                                              " streams were taken up at another version"));
        require(answered == streams,
                str_cat(answered, " of ", streams, " callers got events or a refusal"));
    }

    /// Once the entry of the new start has arrived, streams that begin there go on there.
    net::task<> check_new_entry() {
        std::string entry = m_fleet.memory.items().at("servers/i-1").value;
        entry.replace(entry.find("v1"), 2, "v2");
        entry.replace(entry.find(R"("born":1)"), 8, R"("born":3)");
        m_fleet.memory.put("servers/i-1", entry);
        set_others(serve_resumed_only);
        for (const std::string& daemon : m_daemons) {
            response rest;
            int mixed = 0;
            const time_point end = steady_clock()() + seconds(10);
            while (rest.status != 200 && steady_clock()() < end) {
                m_engines[0]->set_default_action(engine_action::truncate);
                net::http_request request = make_request("new");
                const std::string id(request.headers.get("Attempt-Id"));
                const response begun = co_await call(daemon, std::move(request));
                m_engines[0]->set_default_action(engine_action::serve);
                net::http_request resumption = make_request("new-again");
                resumption.headers.set("Last-Event-Id", "2");
                resumption.headers.set("Resumes", id);
                rest = co_await call(daemon, std::move(resumption));
                mixed += has(begun.body + rest.body, "v1-") ? 1 : 0;
            }
            require(mixed == 0,
                    str_cat(mixed, " streams were mixed before ", daemon, " had the new entry"));
            require(rest.complete && has(rest.body, "v2-e5"),
                    str_cat("a stream goes on at the restarted target when ", daemon,
                            " has its entry, got ", rest.status, " ", rest.body));
        }
    }
};

} // namespace

int main() {
    restart_checks_at_begin().run();
}
