/// \file
/// Guards against items that are given up because the host that takes their job over has not heard
/// of the configuration that added their route.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "stand_in/disturbed_store.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Gets no news of the store and of other hosts, as a host that was stopped a moment ago; what it
/// reads, writes or renews then is answered.
const std::string behind = "runner-2";
/// Time in which the daemons learn of a change or finish an item.
constexpr duration patience = seconds(20);
/// Renewals of its registration in which a host would have given the items up: over a second.
constexpr int renewals_to_watch = 3;

class outdated_runner_checks {
public:
    outdated_runner_checks() : m_engine(m_fleet.add_engine("i-1")) {
        m_fleet.adjust_settings = [this](host::host_settings& settings) {
            settings.is_partitioned = [this, host = settings.host](std::string_view endpoint) {
                return m_out_of_step &&
                       (host == behind || endpoint == m_fleet.peer_endpoint(behind));
            };
        };
        m_fleet.adjust_adapter = [this](const std::string& name,
                                        host::platform_interface& adapter) {
            if (name == behind) {
                disturb(adapter);
            }
        };
        m_runners["runner-1"] = &m_fleet.add_daemon("runner-1", false, true);
        m_runners[behind] = &m_fleet.add_daemon(behind, false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    using response = daemon_fixture::response;

    void disturb(host::platform_interface& adapter) {
        store::kv_store inner = make_disturbed(std::move(adapter.store), [this](store_call call) {
            const bool is_news = m_out_of_step && call == store_call::watch;
            return is_news ? store_fault::stalls : store_fault::none;
        });
        adapter.store = inner;
        adapter.store.list = [this, inner](std::string prefix, std::string after,
                                           store::consistency how) {
            m_has_loaded = m_has_loaded || prefix.starts_with(jobs::results_prefix);
            return inner.list(std::move(prefix), std::move(after), how);
        };
        adapter.store.renew_lease = [this, inner](std::uint64_t lease) {
            ++m_renewals;
            return inner.renew_lease(lease);
        };
    }
    /// Writes a configuration; one that \p has_routes adds two batch routes: "/late/", and "/idle/"
    /// to a service without engines.
    void configure(int version, bool has_routes) {
        m_fleet.configure(version);
        nlohmann::json all = nlohmann::json::parse(m_fleet.memory.items().at("op/config").value);
        if (has_routes) {
            nlohmann::json route = all["routes"].back();
            route["name"] = "late";
            route["pathPrefix"] = "/late/";
            all["routes"].push_back(route);
            route["name"] = "idle";
            route["pathPrefix"] = "/idle/";
            route["service"] = "idle";
            all["routes"].push_back(route);
            all["services"].push_back({{"name", "idle"}});
        }
        m_fleet.memory.put("op/config", all.dump());
    }
    net::task<> submit(std::string job, std::string path) {
        net::http_request request = daemon_fixture::request(job, str_cat(path, "x"));
        request.body = str_cat(R"({"items":[{"id":"item","path":")", path,
                               R"(1","headers":{"Model":"m"},)", R"("body":"","tokens":10}]})");
        int status = 0;
        const time_point end = steady_clock()() + patience;
        while (status != 202 && steady_clock()() < end) {
            const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), request);
            status = got.status;
        }
        require(status == 202, str_cat("the job is accepted, status ", status));
    }
    [[nodiscard]] std::optional<jobs::job_state> stored_state(const std::string& job) const {
        const auto found = m_fleet.memory.items().find(jobs::state_key(job));
        return found == m_fleet.memory.items().end() ? std::nullopt
                                                     : jobs::decode_state(found->second.value);
    }
    [[nodiscard]] bool has_ended(const std::string& job) const {
        const std::optional<jobs::job_state> state = stored_state(job);
        return state && state->finished();
    }
    /// Reads the state of the job's item; empty while it is not listed.
    net::task<std::string> read_item_state(std::string job) {
        net::http_request request =
            daemon_fixture::request("read", str_cat("/eelgrassdoor/lots/", job));
        request.method = "GET";
        request.body.clear();
        const response got = co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), request);
        const auto page = nlohmann::json::parse(got.body, nullptr, false);
        if (got.status != 200 || !page.contains("results") || page["results"].empty()) {
            co_return std::string();
        }
        co_return page["results"][0]["state"].get<std::string>();
    }

    net::task<> run_checks() {
        co_await m_fleet.wait_until_served("entry-1");
        co_await check_added_route();
        co_await check_removed_route();
    }
    net::task<> check_added_route() {
        m_engine.set_default_action(engine_action::hang);
        m_out_of_step = true;
        configure(2, true);
        co_await submit("added", "/late/");
        require(stored_state("added")->owner == "runner-1",
                "the job is accepted by the host in step");
        m_runners.at("runner-1")->begin_shutdown();
        std::function<bool()> is_handed_over = [this] {
            return stored_state("added")->owner == behind;
        };
        co_await m_fleet.eventually("the job is handed over to the outdated host", is_handed_over,
                                    patience);
        std::function<bool()> has_loaded = [this] { return m_has_loaded; };
        co_await m_fleet.eventually("the outdated host takes the job over", has_loaded, patience);
        std::function<bool()> is_watched = [this, until = m_renewals + renewals_to_watch] {
            return m_renewals >= until || has_ended("added");
        };
        co_await m_fleet.eventually("the outdated host goes on", is_watched, patience);
        require(!has_ended("added"), "no item is given up whose route the host has not heard of");
        m_engine.set_default_action(engine_action::serve);
        m_out_of_step = false;
        std::function<bool()> is_done = [this] { return has_ended("added"); };
        co_await m_fleet.eventually("the job ends", is_done, patience);
        const std::string state = co_await read_item_state("added");
        require(state == "complete", "the item runs once the host is in step, got " + state);
    }
    /// Items whose route is known to be gone are still given up.
    net::task<> check_removed_route() {
        co_await submit("removed", "/idle/");
        configure(3, false);
        std::function<bool()> is_done = [this] { return has_ended("removed"); };
        co_await m_fleet.eventually("a job whose route is gone ends", is_done, patience);
        const std::string state = co_await read_item_state("removed");
        require(state == "dead_letter", "its item is given up, got " + state);
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    std::map<std::string, host::fleet_daemon*> m_runners;
    bool m_out_of_step = false;
    /// Whether the outdated host has read results, the last step of taking a job over.
    bool m_has_loaded = false;
    /// Renewals that the outdated host has asked for.
    int m_renewals = 0;
};

} // namespace

int main() {
    outdated_runner_checks().run();
}
