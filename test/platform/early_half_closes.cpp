/// \file
/// Guards against a part of a response that looks whole because its target has closed its sending
/// side, and then resets the connection while a long upload to it waits.
#include "platform/fixture/early_reset_checks.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class half_close_checks : early_reset_checks {
public:
    half_close_checks() : early_reset_checks(early_end::half_close) {
        add_cut_off_daemons(m_host, m_relay);
        m_fleet.configure(1);
    }
    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await m_fleet.wait_until_served(m_relay, "/s/x");
        co_await m_fleet.wait_until_served(m_host, "/s/x");
        co_await check_all_reset(m_relay);
        co_await check_first_reset(m_relay);
        co_await check_all_reset(m_host);
        co_await check_first_reset(m_host);
        co_await check_items(m_host);
    }

    const std::string m_host = "cut-off";
    const std::string m_relay = "other";
};

} // namespace

int main() {
    half_close_checks checks;
    checks.run();
}
