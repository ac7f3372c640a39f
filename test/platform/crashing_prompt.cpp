/// \file
/// Guards against requests with one prompt segment that crash one target after the other: the fleet
/// must stop sending them, and go on serving sound requests of the same customer.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// The users' bound: after the fifth crash and this time, three more requests may reach a target.
constexpr int crashes_before_bound = 5;
constexpr duration contact_time = seconds(3);
constexpr int allowed_requests = 3;
constexpr duration restart_delay = milliseconds(300);
constexpr int engines = 4;
constexpr int sound_requests = 30;

class crash_checks {
public:
    crash_checks() {
        for (int i = 0; i < engines; ++i) {
            m_engines.push_back(&m_fleet.add_engine(str_cat("i-", i)));
            m_engines.back()->set_fatal_segment("fatal", restart_delay);
        }
        for (const std::string& name : m_names) {
            m_fleet.add_daemon(name, true, false);
        }
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        m_fleet.configure(1);
        co_await wait_until_served();
        const time_point limit = steady_clock()() + seconds(20);
        while (crashes() < crashes_before_bound && steady_clock()() < limit) {
            co_await send("fatal");
            co_await send(str_cat("sound-", m_requests % 3));
        }
        const time_point bound = steady_clock()() + contact_time;
        while (steady_clock()() < bound) {
            co_await send("fatal");
            co_await send(str_cat("sound-", m_requests % 3));
        }
        const int crashes_at_bound = crashes();
        int served = 0;
        for (int i = 0; i < sound_requests; ++i) {
            co_await send("fatal");
            const int status = co_await send(str_cat("sound-", i % 3));
            served += status == 200 ? 1 : 0;
        }
        require(crashes() - crashes_at_bound <= allowed_requests,
                str_cat("requests that crash targets are kept from them, ",
                        crashes() - crashes_at_bound, " reached one"));
        require(2 * served >= sound_requests,
                str_cat("sound requests with the same key and first segment are served, ", served,
                        " of ", sound_requests, " were"));
    }

    net::task<> wait_until_served() {
        const time_point end = steady_clock()() + seconds(10);
        for (const std::string& name : m_names) {
            int status = 0;
            while (status != 200 && steady_clock()() < end) {
                status = co_await send_to(name, "sound-0");
            }
            require(status == 200, name + " serves requests");
        }
    }

    /// Sends a request with this second segment to the daemons in turn and returns its status.
    net::task<int> send(std::string segment) {
        const std::string& name = m_names[static_cast<std::size_t>(m_requests) % m_names.size()];
        co_return co_await send_to(name, std::move(segment));
    }
    net::task<int> send_to(std::string name, std::string segment) {
        ++m_requests;
        net::http_request request = daemon_fixture::request(str_cat("request-", m_requests));
        // Requests with different prompts differ in their bodies.
        request.body = str_cat(R"({"prompt":")", segment, "-", m_requests, R"("})");
        request.headers.set("Prompt-Prefix",
                            str_cat("first:200,", segment, ":50,own-", m_requests, ":20"));
        const auto got = co_await m_fleet.call(m_fleet.caller_endpoint(name), std::move(request));
        co_return got.complete ? got.status : 0;
    }

    [[nodiscard]] int crashes() const {
        int sum = 0;
        for (const scripted_engine* engine : m_engines) {
            sum += engine->crashes();
        }
        return sum;
    }

    daemon_fixture m_fleet;
    const std::vector<std::string> m_names{"entry-1", "entry-2", "entry-3"};
    std::vector<scripted_engine*> m_engines;
    int m_requests = 0;
};

} // namespace

int main() {
    crash_checks checks;
    checks.run();
}
