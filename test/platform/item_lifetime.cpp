/// \file
/// Guards against items that are given up before their time because a host's clock jumped.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Longer than the fixture's item lifetime of 60 s.
constexpr std::int64_t jump_ms = 3'600'000;
/// Reads of a second each while no engine is there.
constexpr int reads_after_jump = 2;

class lifetime_checks {
public:
    lifetime_checks() {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            settings.wall_clock = [this] { return wall_clock_ms() + m_jump_ms; };
        };
        m_fleet.add_daemon("runner", false, true);
        m_fleet.add_daemon("entry", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        int status = 0;
        const time_point end = steady_clock()() + seconds(10);
        while (status != 202 && steady_clock()() < end) {
            net::http_request request = daemon_fixture::request("job", "/j/x");
            request.body = job_body();
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), request);
            status = got.status;
        }
        require(status == 202, "a job is accepted while there is no engine");
        m_jump_ms = jump_ms;
        for (int i = 0; i < reads_after_jump; ++i) {
            co_await read_state();
        }
        m_fleet.add_engine("i-1");
        std::string state;
        while (state.empty() && steady_clock()() < end + seconds(20)) {
            state = co_await read_state();
        }
        require(state == "complete", "an item runs after the host's clock has jumped: " + state);
    }

    static std::string job_body() {
        return nlohmann::json{{"items",
                               {{{"id", "item"},
                                 {"path", "/j/x/0"},
                                 {"headers", {{"Model", "m"}}},
                                 {"body", to_base64("body")},
                                 {"tokens", 10}}}}}
            .dump();
    }
    /// Waits up to a second for the item's result. Returns its state, or nothing while it has none.
    net::task<std::string> read_state() {
        net::http_request request =
            daemon_fixture::request("read", "/eelgrassdoor/lots/job?after=0");
        request.method = "GET";
        request.body.clear();
        request.headers.set("Wait-Ms", "1000");
        const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), request);
        const auto page = nlohmann::json::parse(got.body, nullptr, false);
        const bool has_result =
            got.status == 200 && page.contains("results") && !page["results"].empty();
        co_return has_result ? page["results"][0].value("state", "") : std::string();
    }

    daemon_fixture m_fleet;
    std::int64_t m_jump_ms = 0;
};

} // namespace

int main() {
    lifetime_checks checks;
    checks.run();
}
