/// \file
/// Guards against 404 and 401 for a route and a key that a host has not heard of because its
/// configuration is outdated.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/disturbed_store.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Reaches neither the store nor other hosts while the others are out of step.
const std::string isolated = "entry-3";
/// Hears of no change: the answers to its watches are lost, and other hosts do not reach it. Other
/// calls to the store are answered.
const std::string behind = "entry-4";
const std::vector<std::string> hosts = {"entry-1", isolated, behind};
/// Shortest wait of the watches that wait for changes.
constexpr duration long_watch = milliseconds(20);
/// Time in which the daemons learn of a change.
constexpr duration patience = seconds(10);

class denial_checks {
public:
    denial_checks() {
        m_fleet.add_engine("i-1");
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            settings.is_partitioned = [this, host = settings.host](std::string_view endpoint) {
                return m_out_of_step &&
                       (host != "entry-1" || endpoint != m_fleet.peer_endpoint("entry-1"));
            };
        };
        m_fleet.adjust_adapter = [this](const std::string& name,
                                        host::platform_interface& adapter) {
            if (name == isolated) {
                adapter.store = make_disturbed(std::move(adapter.store), [this](store_call) {
                    return m_out_of_step ? store_fault::fails : store_fault::none;
                });
            } else if (name == behind) {
                lose_watches(adapter);
            }
        };
        for (const std::string& name : hosts) {
            m_fleet.add_daemon(name, true, false);
        }
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    void lose_watches(host::platform_interface& adapter) {
        const store::kv_store inner = adapter.store;
        const store::kv_store stalled = make_disturbed(inner, [this](store_call) {
            return m_out_of_step ? store_fault::stalls : store_fault::none;
        });
        adapter.store.watch = [inner, stalled](std::string prefix, std::uint64_t revision,
                                               duration wait) {
            const store::kv_store& chosen = wait >= long_watch ? stalled : inner;
            return chosen.watch(std::move(prefix), revision, wait);
        };
    }
    /// Writes a configuration with another route, "/n/", and another key.
    void add_route_and_key() {
        m_fleet.configure(2, R"("key-1","key-2")");
        nlohmann::json all = nlohmann::json::parse(m_fleet.memory.items().at("op/config").value);
        nlohmann::json route = all["routes"][0];
        route["name"] = "new";
        route["pathPrefix"] = "/n/";
        all["routes"].push_back(route);
        m_fleet.memory.put("op/config", all.dump());
    }
    net::task<response> call(std::string host, std::string path, std::string key) {
        net::http_request request =
            daemon_fixture::request(str_cat("call-", ++m_requests), std::move(path));
        request.headers.set("Credential", key);
        co_return co_await m_fleet.call(m_fleet.caller_endpoint(host), std::move(request));
    }
    net::task<> check_status(std::string host, std::string path, std::string key, int status) {
        const response got = co_await call(host, path, key);
        require(got.status == status && (status != 503 || !got.headers.get("Retry-After").empty()),
                str_cat(host, " answers ", status, " to ", path, " with ", key, "; got ",
                        got.status, " ", got.body));
    }
    /// What no configuration holds is refused for good, by hosts that are in step.
    net::task<> check_denied(std::string host) {
        co_await check_status(host, "/none/x", "key-1", 404);
        co_await check_status(host, "/p/x", "key-9", 401);
        co_await check_status(host, "/p/x", "", 401);
    }
    net::task<> check_served(std::string host) {
        co_await check_status(host, "/n/x", "key-1", 200);
        co_await check_status(host, "/p/x", "key-2", 200);
    }

    net::task<> run_checks() {
        for (const std::string& host : hosts) {
            co_await m_fleet.wait_until_served(host);
            co_await check_denied(host);
        }
        m_out_of_step = true;
        add_route_and_key();
        co_await m_fleet.wait_until_served("entry-1", "/n/x");
        co_await check_served("entry-1");
        co_await check_denied("entry-1");
        co_await wait_for(isolated, "/n/x", 503);
        co_await check_status(isolated, "/n/x", "key-1", 503);
        co_await check_status(isolated, "/p/x", "key-2", 503);
        co_await check_status(isolated, "/p/x", "key-1", 200);
        co_await wait_for(behind, "/n/x", 200);
        co_await check_served(behind);
        co_await check_denied(behind);
        m_out_of_step = false;
        co_await m_fleet.wait_until_served(isolated, "/n/x");
        co_await check_served(isolated);
        co_await wait_for(isolated, "/none/x", 404);
        co_await check_denied(isolated);
    }
    /// Asks for \p path until \p status is the answer: for a moment, what a host has just confirmed
    /// still counts, and other hosts are back in reach before the store is.
    net::task<> wait_for(std::string host, std::string path, int status) {
        int last = 0;
        const time_point end = steady_clock()() + patience;
        while (last != status && steady_clock()() < end) {
            const response got = co_await call(host, path, "key-1");
            last = got.status;
        }
        require(last == status, str_cat(host, " answers ", status, " to ", path, " at last"));
    }

    daemon_fixture m_fleet;
    bool m_out_of_step = false;
    int m_requests = 0;
};

} // namespace

int main() {
    denial_checks().run();
}
