/// \file
/// Guards against a daemon that the others do not hear after it restarted with an earlier clock.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Daemons in touch know of each other's state within this time.
constexpr duration contact_time = seconds(3);
/// How much earlier the clock of a host is after the restart.
constexpr std::int64_t set_back_ms = 3'600'000;

class restart_checks {
public:
    restart_checks() { m_fleet.add_daemon("entry-1", true, false); }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        host::fleet_daemon& first = add_restarting(wall_clock_ms());
        co_await wait_until_heard(1, "a daemon is heard");
        first.begin_shutdown();
        co_await wait_until_heard(0, "a daemon that has stopped is silent");
        host::fleet_daemon& second = add_restarting(wall_clock_ms() - set_back_ms);
        co_await wait_until_heard(1, "a daemon that restarts with an earlier clock is heard");
        second.begin_shutdown();
        co_await wait_until_heard(0, "it is silent after its stop");

        m_fleet.memory.refuse = [] { return true; };
        host::fleet_daemon& third = add_restarting(wall_clock_ms() - 2 * set_back_ms);
        co_await wait_until_heard(1, "a daemon that restarts with an earlier clock while the store "
                                     "is away is heard");
        third.begin_shutdown();
        co_await wait_until_heard(0, "it is silent after its stop, too");
    }

    host::fleet_daemon& add_restarting(std::int64_t started_at) {
        m_fleet.adjust_settings = [started_at](host::host_settings& settings) {
            settings.wall_clock = [started_at] { return started_at; };
            settings.shutdown_grace = seconds(1);
        };
        return m_fleet.add_daemon("entry-2", true, false);
    }

    /// Waits until "entry-1" hears \p count other daemons.
    net::task<> wait_until_heard(int count, std::string what) {
        const std::string line = str_cat("peers_heard ", count, "\n");
        net::http_request request;
        request.method = "GET";
        request.target = "/metrics";
        request.headers.set("Host", "h");
        const time_point end = steady_clock()() + contact_time;
        bool found = false;
        while (!found && steady_clock()() < end) {
            const auto got = co_await m_fleet.call(m_fleet.metrics_endpoint("entry-1"), request);
            found = got.body.find(line) != std::string::npos;
            net::notification step(m_fleet.loop.get_executor());
            co_await step.wait_until(steady_clock()() + milliseconds(10));
        }
        require(found, what);
    }

    daemon_fixture m_fleet;
};

} // namespace

int main() {
    restart_checks checks;
    checks.run();
}
