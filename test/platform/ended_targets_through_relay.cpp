/// \file
/// Guards against relayed responses without framing that look complete though the target's process
/// ended before their end.
#include "platform/fixture/ended_target_checks.hpp"

#include <string>
#include <string_view>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class relay_checks : ended_target_checks {
public:
    relay_checks() { add_cut_off_daemons(m_host, m_relay); }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await m_fleet.wait_until_served(m_relay);
        co_await m_fleet.wait_until_served(m_host);
        co_await check_resumable(m_host, false);
        co_await check_resumable(m_host, true);
        co_await check_unrepeatable(m_host);
        co_await check_plain(m_host);
        co_await check_items(m_host);
    }

    const std::string m_host = "cut-off";
    const std::string m_relay = "other";
};

} // namespace

int main() {
    relay_checks checks;
    checks.run();
}
