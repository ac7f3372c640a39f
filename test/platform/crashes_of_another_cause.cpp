/// \file
/// Guards against requests that stay refused after targets have crashed under them for another
/// reason: as nothing is sent that a target could answer, nothing would show that they are sound.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <functional>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr int engines = 4;
constexpr duration restart_delay = milliseconds(100);
/// Time after the return of the targets from which requests must be served.
constexpr duration recovery_time = seconds(12);

class crash_checks {
public:
    crash_checks() {
        for (int i = 0; i < engines; ++i) {
            m_engines.push_back(&m_fleet.add_engine(str_cat("i-", i)));
        }
        for (const std::string& name : m_names) {
            m_fleet.add_daemon(name, true, false);
        }
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<daemon_fixture::response> call(std::string host) {
        net::http_request request = daemon_fixture::request(str_cat("r-", ++m_requests));
        request.headers.set("Prompt-Prefix", "first:200,own:20");
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(host), std::move(request));
    }
    /// Sends the request to all hosts until \p is_expected holds for each in one round, for
    /// \p bound at most. Returns whether it did.
    net::task<bool> send_until(std::function<bool(const daemon_fixture::response&)> is_expected,
                               duration bound) {
        const time_point end = steady_clock()() + bound;
        std::size_t expected = 0;
        while (expected < m_names.size() && steady_clock()() < end) {
            expected = 0;
            for (const std::string& name : m_names) {
                const daemon_fixture::response answer = co_await call(name);
                expected += is_expected(answer) ? 1 : 0;
            }
        }
        co_return expected == m_names.size();
    }

    net::task<> run_checks() {
        m_fleet.configure(1);
        const auto is_served = [](const daemon_fixture::response& answer) {
            return answer.status == 200;
        };
        const bool served = co_await send_until(is_served, seconds(10));
        require(served, "all hosts serve the request");
        for (scripted_engine* engine : m_engines) {
            engine->set_fatal_body("{}", restart_delay);
        }
        const auto is_refused = [](const daemon_fixture::response& answer) {
            return answer.body.find("targets crash") != std::string::npos;
        };
        const bool refused = co_await send_until(is_refused, seconds(20));
        require(refused, "all hosts refuse the request on which targets crash");
        for (scripted_engine* engine : m_engines) {
            engine->set_fatal_body("", restart_delay);
        }
        const bool served_again = co_await send_until(is_served, recovery_time);
        require(served_again, "all hosts serve the request again, as targets do not crash now");
    }

    daemon_fixture m_fleet;
    const std::vector<std::string> m_names{"entry-1", "entry-2", "entry-3"};
    std::vector<scripted_engine*> m_engines;
    int m_requests = 0;
};

} // namespace

int main() {
    crash_checks().run();
}
