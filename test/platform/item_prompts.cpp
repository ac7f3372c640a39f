/// \file
/// Guards against a daemon that ends on items whose prompts name segments: the run of an item
/// passes them on, and freed them twice.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::size_t item_count = 8;

class prompt_checks {
public:
    prompt_checks() {
        m_fleet.add_daemon("runner", false, true);
        m_fleet.add_daemon("entry", true, false);
        m_fleet.add_engine("i-1");
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        int status = 0;
        const time_point end = steady_clock()() + seconds(10);
        while (status != 202 && steady_clock()() < end) {
            net::http_request request = daemon_fixture::request("job", "/j/x");
            request.body = job_body();
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), request);
            status = got.status;
        }
        require(status == 202, "a job is accepted");
        std::size_t complete = 0;
        while (complete < item_count && steady_clock()() < end + seconds(20)) {
            complete = co_await count_complete();
        }
        require(complete == item_count, str_cat("all items complete: ", complete));
    }

    static std::string job_body() {
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; i < item_count; ++i) {
            const std::string prefix = str_cat("first:200,second:50,own-", i, ":20");
            items.push_back({{"id", str_cat("item-", i)},
                             {"path", str_cat("/j/x/", i)},
                             {"headers", {{"Model", "m"}, {"Prompt-Prefix", prefix}}},
                             {"body", to_base64("body")},
                             {"tokens", 10}});
        }
        return nlohmann::json{{"items", items}}.dump();
    }

    net::task<std::size_t> count_complete() {
        net::http_request request =
            daemon_fixture::request("read", "/eelgrassdoor/lots/job?after=0");
        request.method = "GET";
        request.body.clear();
        request.headers.set("Wait-Ms", "1000");
        const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry"), request);
        std::size_t count = 0;
        for (std::size_t at = got.body.find("\"complete\""); at != std::string::npos;
             at = got.body.find("\"complete\"", at + 1)) {
            ++count;
        }
        co_return count;
    }

    daemon_fixture m_fleet;
};

} // namespace

int main() {
    prompt_checks checks;
    checks.run();
}
