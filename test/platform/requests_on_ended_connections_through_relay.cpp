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
    connection_checks() { add_cut_off_daemons(m_host, m_relay); }
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
