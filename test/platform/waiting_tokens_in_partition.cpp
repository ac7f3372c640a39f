/// \file
/// Guards against jobs beyond a customer's cap that two sides of a partition accept because neither
/// hears of the tokens that wait at the other.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <set>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// The cap of the fixture's batch route, with the overage that the platform grants.
constexpr int max_waiting_tokens = 1100;
constexpr int tokens_per_job = 300;
/// Enough to pass the cap at either side.
constexpr int jobs_per_side = 4;
constexpr duration patience = seconds(10);
const std::set<std::string> far_side = {"runner-2", "entry-2"};

class partition_checks {
public:
    partition_checks() {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            settings.is_partitioned = [this, host = settings.host](std::string_view endpoint) {
                return far_side.contains(host) != is_far(endpoint);
            };
        };
        m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.add_daemon("runner-2", false, true);
        m_fleet.add_daemon("entry-2", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    [[nodiscard]] bool is_far(std::string_view endpoint) const {
        return std::any_of(far_side.begin(), far_side.end(), [&](const std::string& host) {
            return endpoint == m_fleet.peer_endpoint(host);
        });
    }
    /// Submits a job until it is accepted or refused for its tokens. Returns the last status.
    net::task<int> submit(std::string host, std::string job) {
        net::http_request request = daemon_fixture::request(job, "/j/x");
        request.body = str_cat(R"({"items":[{"id":")", job, R"(","path":"/j/x/1","body":"",)",
                               R"("headers":{"Model":"m"},"tokens":)", tokens_per_job, "}]}");
        int status = 0;
        const time_point end = steady_clock()() + patience;
        while (status != 202 && status != 429 && steady_clock()() < end) {
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint(host), request);
            status = got.status;
        }
        co_return status;
    }
    net::task<int> accept_tokens(std::string host) {
        int tokens = 0;
        for (int i = 0; i < jobs_per_side; ++i) {
            const int status = co_await submit(host, str_cat(host, "-job-", i));
            tokens += status == 202 ? tokens_per_job : 0;
        }
        co_return tokens;
    }
    net::task<> run_checks() {
        const int near = co_await accept_tokens("entry-1");
        require(near > 0, "jobs are accepted");
        const int far = co_await accept_tokens("entry-2");
        require(near + far <= max_waiting_tokens,
                str_cat("no more tokens wait than the cap allows: ", near, " and ", far));
    }

    daemon_fixture m_fleet;
};

} // namespace

int main() {
    partition_checks().run();
}
