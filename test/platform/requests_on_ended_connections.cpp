/// \file
/// Guards against requests and items that fail because they are sent over the connection of a
/// report, which the target ends after it.
#include "platform/fixture/ended_connection_checks.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class connection_checks : ended_connection_checks {
public:
    connection_checks() {
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_host);
        co_await check_all(m_host);
    }

    const std::string m_host = "entry-1";
};

} // namespace

int main() {
    connection_checks checks;
    checks.run();
}
