/// \file
/// Guards against watches that a store outage without any response has left hanging: changes after
/// the outage must be seen although these watches never end before their own timeout.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// The users count a store as stable again after this time; from then on changes have to be in
/// force in theirs.
constexpr duration contact_time = seconds(3);
/// Renewals that fail before the outage ends, so that watches have begun before and during it.
constexpr std::uint64_t outage_renewals = 2;

class outage_checks {
public:
    outage_checks() { m_fleet.add_daemon("host-1", true, true); }

    [[noreturn]] void run() {
        m_fleet.memory.silent = [this] { return m_silent; };
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        const bool began = co_await eventually_version(1, seconds(10));
        require(began, "the first configuration comes into force");
        m_silent = true;
        co_await m_fleet.eventually("the daemon meets the silent store", [this] {
            return m_fleet.memory.silent_renewals() >= outage_renewals;
        });
        m_silent = false;
        m_fleet.configure(2);
        const bool changed = co_await eventually_version(2, contact_time);
        require(changed, "a change is in force 3 s after a silent outage of the store has ended");
    }

    /// Reads the metrics of the daemon until it has a configuration in force.
    net::task<bool> eventually_version(int version, duration bound) {
        net::http_request read;
        read.method = "GET";
        read.target = "/metrics";
        read.headers.set("Host", "metrics");
        const std::string wanted = str_cat("configuration_version ", version);
        const time_point end = steady_clock()() + bound;
        bool found = false;
        while (!found && steady_clock()() < end) {
            const auto got = co_await m_fleet.call(m_fleet.metrics_endpoint("host-1"), read);
            found = got.body.find(wanted) != std::string::npos;
        }
        co_return found;
    }

    daemon_fixture m_fleet;
    bool m_silent = false;
};

} // namespace

int main() {
    outage_checks checks;
    checks.run();
}
