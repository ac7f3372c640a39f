/// \file
/// Guards against streams that go on at another software version than the one that began them, at a
/// target or from a target that gives no report and whose entry names the wrong version.
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

engine_action truncate_new_only(const net::http_request& request) {
    return request.headers.get("Last-Event-Id").empty() ? engine_action::truncate
                                                        : engine_action::refuse;
}

class report_checks : changed_engine_fixture {
public:
    report_checks() {
        m_engines[0]->set_event_prefix("v2-");
        m_engines[0]->set_has_report(false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await wait_until_served();
        co_await check_begun_there();
        co_await check_begun_elsewhere();
    }

    /// Takes up the stream of the attempt \p id of which \p begun has been received.
    net::task<response> take_up(std::string daemon, std::string id, const response& begun) {
        net::http_request resumption = make_request("again");
        const std::string last(has(begun.body, "-e4\n") ? "4" : "2");
        resumption.headers.set("Last-Event-Id", last);
        resumption.headers.set("Resumes", id);
        co_return co_await call(daemon, std::move(resumption));
    }
    static bool is_mixed(const std::string& text) { return has(text, "v1-") && has(text, "v2-"); }

    net::task<> check_begun_there() {
        std::size_t mixed = 0;
        for (std::size_t i = 0; i < streams; ++i) {
            m_engines[0]->set_default_action(truncate_new_only);
            set_others(serve_resumed_only);
            net::http_request request = make_request("there");
            const std::string id(request.headers.get("Attempt-Id"));
            const response begun = co_await call(m_daemons[0], std::move(request));
            require(has(begun.body, "v2-e2\n"), "a stream begins at the target without report");
            const response rest = co_await take_up(m_daemons[i % 2], id, begun);
            mixed += is_mixed(begun.body + rest.body) ? 1 : 0;
        }
        require(mixed == 0, str_cat(mixed, " of ", streams, " streams that began at a target ",
                                    "without report went on at another version"));
    }

    net::task<> check_begun_elsewhere() {
        std::size_t mixed = 0;
        std::size_t whole = 0;
        m_engines[0]->set_default_action(serve_resumed_only);
        for (std::size_t i = 0; i < streams; ++i) {
            set_others(engine_action::truncate);
            net::http_request request = make_request("elsewhere");
            const std::string id(request.headers.get("Attempt-Id"));
            const response begun = co_await call(m_daemons[0], std::move(request));
            set_others(engine_action::serve);
            const response rest = co_await take_up(m_daemons[i % 2], id, begun);
            mixed += is_mixed(begun.body + rest.body) ? 1 : 0;
            whole += rest.status == 200 && rest.complete ? 1 : 0;
        }
        require(mixed == 0, str_cat(mixed, " of ", streams, " streams went on at a target of ",
                                    "another version without report"));
        require(whole == streams, str_cat(whole, " of ", streams, " streams went on"));
    }
};

} // namespace

int main() {
    report_checks().run();
}
