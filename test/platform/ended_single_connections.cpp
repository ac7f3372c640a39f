/// \file
/// Guards against responses without framing that look complete though their connection alone was
/// closed between two events: a run that goes on would have brought the others.
#include "platform/fixture/ended_target_checks.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class connection_checks : ended_target_checks {
public:
    connection_checks() : ended_target_checks(ending::connection) {
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
        co_await check_resumable(m_host, false);
        co_await check_items(m_host);
    }

    const std::string m_host = "entry-1";
};

} // namespace

int main() {
    connection_checks checks;
    checks.run();
}
