/// \file
/// Guards against the same failures of requests and items that another daemon sends.
#include "platform/fixture/ended_connection_checks.hpp"

#include <string>
#include <string_view>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class connection_checks : ended_connection_checks {
public:
    connection_checks() {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            settings.is_partitioned_from_target = [this](std::string_view endpoint) {
                return m_endpoints.contains(endpoint);
            };
        };
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
        m_fleet.adjust_settings = nullptr;
        m_fleet.add_daemon(m_relay, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_relay);
        co_await m_fleet.wait_until_served(m_host);
        co_await check_all(m_host);
    }

    const std::string m_host = "cut-off";
    const std::string m_relay = "other";
};

} // namespace

int main() {
    connection_checks checks;
    checks.run();
}
