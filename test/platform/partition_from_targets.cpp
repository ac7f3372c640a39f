/// \file
/// Guards against a host that fails its callers' requests because it reaches no target, while
/// another host that it reaches could send them.
#include "platform/fixture/partition_fixture.hpp"

#include <algorithm>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::string_view five_events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                                         "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";
constexpr int requests = 30;
/// Time after the begin of a partition from which requests must be served.
constexpr duration contact_time = seconds(3);

class partition_checks : partition_fixture {
public:
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// Sends requests on \p path, each once, and requires that all of them are served.
    net::task<> check_served(std::string host, std::string path) {
        int served = 0;
        std::string got;
        for (int i = 0; i < requests; ++i) {
            const daemon_fixture::response answer = co_await call(host, path);
            const bool is_served =
                answer.status == 200 && answer.complete && answer.body == five_events;
            served += is_served ? 1 : 0;
            got += is_served ? "" : str_cat(" ", answer.status);
        }
        require(served == requests, str_cat(host, " serves ", served, " of ", requests,
                                            " first tries on ", path, "; the others got", got));
    }

    net::task<> run_checks() {
        co_await start();
        m_partitioned = true;
        const time_point bound = steady_clock()() + contact_time;
        while (steady_clock()() < bound) {
            co_await call(cut_off_host, "/s/x");
        }
        for (const std::string path : {"/p/x", "/s/x", "/o/x"}) {
            co_await check_served(cut_off_host, path);
            co_await check_served(other_host, path);
        }
        for (const scripted_engine* engine : m_engines) {
            for (const net::http_request& each : engine->received()) {
                const auto& fields = each.headers.all();
                require(std::count_if(fields.begin(), fields.end(),
                                      [](const net::http_header& field) {
                                          return field.name == "Content-Length";
                                      }) == 1,
                        "a request reaches its target with one length");
            }
        }
        set_actions(engine_action::truncate);
        const daemon_fixture::response cut_short = co_await call(cut_off_host, "/o/x");
        require(!cut_short.complete, "a response that breaks off at the target does so here");
        set_actions(engine_action::fail);
        const daemon_fixture::response failed = co_await call(cut_off_host, "/o/x");
        require(failed.complete && failed.status == 500, "a target's failure arrives as such");
        set_actions(engine_action::serve);
        m_partitioned = false;
        co_await check_served(cut_off_host, "/p/x");
    }
};

} // namespace

int main() {
    partition_checks().run();
}
