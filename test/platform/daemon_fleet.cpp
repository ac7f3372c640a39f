/// \file
/// Tests several daemons together: a customer's rate that one daemon keeps for all, and an
/// evacuated zone.
#include "platform/fixture/daemon_fixture.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Runs the checks in order against one fleet of two engines in zone "a" and three frontends.
class fleet_checks {
public:
    fleet_checks() {
        m_fleet.add_engine("i-1");
        m_fleet.add_engine("i-2");
        for (const std::string& name : m_names) {
            m_fleet.add_daemon(name, true, false, [this](std::string_view from) {
                return !m_silent.empty() && from == m_fleet.peer_endpoint(m_silent);
            });
        }
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await check_every_daemon_admits();
        co_await check_one_primary();
        co_await check_silent_holder();
        co_await check_evacuated_zone();
    }

    net::task<int> status_at(const std::string& name) {
        const std::string id = "request-" + std::to_string(++m_requests);
        const auto got =
            co_await m_fleet.call(m_fleet.caller_endpoint(name), daemon_fixture::request(id));
        co_return got.status;
    }
    /// Sends requests to daemon \p name until one gets \p wanted.
    net::task<bool> eventually_status(std::string name, int wanted) {
        const time_point end = steady_clock()() + seconds(10);
        int status = 0;
        while (status != wanted && steady_clock()() < end) {
            status = co_await status_at(name);
        }
        co_return status == wanted;
    }

    net::task<> check_every_daemon_admits() {
        for (const std::string& name : m_names) {
            const bool admitted = co_await eventually_status(name, 200);
            require(admitted,
                    name + " admits requests of a customer whose tokens one daemon holds");
        }
    }

    /// The daemon that is the primary holder; empty unless exactly one says that it is.
    net::task<std::string> find_primary() {
        net::http_request read;
        read.method = "GET";
        read.target = "/metrics";
        read.headers.set("Host", "metrics");
        std::string primary;
        int claims = 0;
        for (const std::string& name : m_names) {
            const auto got = co_await m_fleet.call(m_fleet.metrics_endpoint(name), read);
            if (got.body.find("rate_limit_customers_held 1") != std::string::npos) {
                primary = name;
                ++claims;
            }
        }
        co_return claims == 1 ? primary : std::string();
    }

    net::task<> check_one_primary() {
        const time_point end = steady_clock()() + seconds(10);
        std::string primary;
        while (primary.empty() && steady_clock()() < end) {
            primary = co_await find_primary();
        }
        require(!primary.empty(), "the daemons agree on one that holds the customer's tokens");
    }

    net::task<> check_silent_holder() {
        for (const std::string& silent : m_names) {
            m_silent = silent;
            for (const std::string& name : m_names) {
                const int status = name == silent ? 200 : co_await status_at(name);
                require(status == 200, name + " gets a token although no datagram of " + silent +
                                           " arrives, got status " + std::to_string(status));
            }
            m_silent.clear();
        }
    }

    net::task<> check_evacuated_zone() {
        m_fleet.memory.put("op/evacuate/a", "{}");
        for (const std::string& name : m_names) {
            const bool refused = co_await eventually_status(name, 503);
            require(refused, name + " sends nothing to the targets of an evacuated zone");
        }
        m_fleet.memory.erase("op/evacuate/a");
        for (const std::string& name : m_names) {
            const bool served = co_await eventually_status(name, 200);
            require(served, name + " uses the zone again when its evacuation has ended");
        }
    }

    daemon_fixture m_fleet;
    const std::vector<std::string> m_names{"entry-1", "entry-2", "entry-3"};
    /// The daemon whose datagrams are dropped; empty for none.
    std::string m_silent;
    int m_requests = 0;
};

} // namespace

int main() {
    fleet_checks checks;
    checks.run();
}
