/// \file
/// Guards against a part of a response that looks whole because its connection is reset while a
/// long upload to its target waits.
#include "platform/fixture/early_reset_checks.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class reset_checks : early_reset_checks {
public:
    reset_checks() {
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon(m_host, true, false);
        m_fleet.configure(1);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await m_fleet.wait_until_served(m_host, "/s/x");
        co_await check_all_reset(m_host);
        co_await check_first_reset(m_host);
        co_await check_items(m_host);
    }

    const std::string m_host = "entry-1";
};

} // namespace

int main() {
    reset_checks checks;
    checks.run();
}
