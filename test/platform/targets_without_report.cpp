/// \file
/// Guards against streams that go on at another software version than the one that began them, at a
/// target or from a target that gives no report and whose entry names the wrong version.
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

class report_checks {
public:
    report_checks() {
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            m_engines.push_back(&m_fleet.add_engine(id, "v1"));
            m_engines.back()->set_event_prefix("v1-");
        }
        m_engines[0]->set_event_prefix("v2-");
        m_engines[0]->set_has_report(false);
        for (const std::string& daemon : m_daemons) {
            m_fleet.add_daemon(daemon, true, false);
        }
        m_fleet.configure(1);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    net::task<> run_checks() {
        for (const std::string& daemon : m_daemons) {
            co_await m_fleet.wait_until_served(daemon);
        }
        co_await check_begun_there();
        co_await check_begun_elsewhere();
    }

    net::task<response> call(std::string daemon, net::http_request request) {
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(daemon), std::move(request));
    }
    net::http_request make_request(std::string_view kind) {
        const std::string id = str_cat(kind, "-", ++m_requests);
        net::http_request out = daemon_fixture::request(id, "/p/" + id);
        out.body = "body-" + id;
        return out;
    }
    /// Takes up the stream of the attempt \p id of which \p begun has been received.
    net::task<response> take_up(std::string daemon, std::string id, const response& begun) {
        net::http_request resumption = make_request("again");
        const std::string last(has(begun.body, "-e4\n") ? "4" : "2");
        resumption.headers.set("Last-Event-Id", last);
        resumption.headers.set("Resumes", id);
        co_return co_await call(daemon, std::move(resumption));
    }
    template <typename Action> void set_others(Action action) {
        m_engines[1]->set_default_action(action);
        m_engines[2]->set_default_action(action);
    }
    static bool has(const std::string& text, std::string_view part) {
        return text.find(part) != std::string::npos;
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

    const std::vector<std::string> m_daemons{"entry-1", "entry-2"};
    daemon_fixture m_fleet;
    /// The first one gives no report.
    std::vector<scripted_engine*> m_engines;
    int m_requests = 0;
};

} // namespace

int main() {
    report_checks().run();
}
