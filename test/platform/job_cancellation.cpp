/// \file
/// Guards against jobs that go on after a caller has cancelled them, because a daemon replaced the
/// state in which it had marked the cancellation by a record that it had read or written earlier.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"

#include <nlohmann/json.hpp>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

class cancellation_checks {
public:
    cancellation_checks()
        : m_engine(m_fleet.add_engine("i-1")),
          m_runners({{"runner-1", &m_fleet.add_daemon("runner-1", false, true)},
                     {"runner-2", &m_fleet.add_daemon("runner-2", false, true)}}) {
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        // An item of a job whose name begins with "long" never ends by itself.
        m_engine.set_default_action([](const net::http_request& request) {
            return request.target.find("/long") != std::string::npos ? engine_action::hang
                                                                     : engine_action::serve;
        });
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    net::task<> run_checks() {
        co_await check_cancelled_during_commit();
        co_await check_cancelled_during_takeover();
    }

    /// The body of a job with an item for each name; an item's path ends with its name.
    static std::string job_body(const std::string& job, const std::vector<std::string>& names) {
        nlohmann::json list = nlohmann::json::array();
        for (const std::string& name : names) {
            list.push_back({{"id", str_cat(job, "-", name)},
                            {"path", str_cat("/j/x/", name)},
                            {"headers", {{"Model", "m"}}},
                            {"body", to_base64("body")},
                            {"tokens", 10}});
        }
        return nlohmann::json{{"items", list}}.dump();
    }
    net::task<int> send(std::string method, std::string id, std::string path, std::string body) {
        net::http_request request = daemon_fixture::request(id, path);
        request.method = std::move(method);
        request.body = std::move(body);
        const auto got = co_await m_fleet.call(m_fleet.caller_endpoint("entry-1"), request);
        co_return got.status;
    }
    /// Submits a job; repeatedly, as it is refused until the daemons have discovered each other.
    net::task<> submit(std::string job, std::vector<std::string> names) {
        const std::string body = job_body(job, names);
        int status = 0;
        for (int i = 0; i < 300 && status != 202; ++i) {
            status = co_await send("POST", job, "/j/x", body);
        }
        require(status == 202, str_cat(job, " is accepted"));
    }
    /// Cancels a job, and waits until all of \p watchers daemons that run jobs know of it.
    net::task<> cancel(std::string job, int watchers) {
        const std::string path = "/eelgrassdoor/lots/" + job;
        const int status = co_await send("DELETE", "end", path, "");
        require(status == 200, str_cat(job, " is cancelled"));
        co_await m_fleet.eventually("the daemons learn of the cancellation", [&] {
            return m_fleet.memory.reports_of(jobs::cancelled_key(job)) >= watchers;
        });
    }
    [[nodiscard]] std::string owner_of(const std::string& job) const {
        const auto state =
            jobs::decode_state(m_fleet.memory.items().at(jobs::state_key(job)).value);
        require(state.has_value(), "the stored record of a job can be decoded");
        return state->owner;
    }
    [[nodiscard]] std::ptrdiff_t runs_of(const std::string& item) const {
        return std::count_if(
            m_engine.received().begin(), m_engine.received().end(),
            [&](const net::http_request& each) { return each.headers.get("Attempt-Id") == item; });
    }
    /// Lets the owner of all jobs dispatch: an item of a later job has run, so that every pending
    /// item of an earlier one would have been started, as the engine has free slots.
    net::task<> wait_for_dispatch(std::string control_job) {
        const std::vector<std::string> items{"short"};
        co_await submit(control_job, items);
        co_await m_fleet.eventually("an item of a later job runs",
                                    [&] { return runs_of(control_job + "-short") > 0; });
    }

    /// The news of the cancellation comes before the response to a commit that preceded it.
    net::task<> check_cancelled_during_commit() {
        bool hold = true;
        bool held = false;
        m_fleet.memory.delay_response = [&](const store::kv_transaction& change) {
            const bool has_results =
                std::any_of(change.writes.begin(), change.writes.end(), [](const auto& write) {
                    return write.key.starts_with(str_cat(jobs::results_prefix, "commit"));
                });
            held = held || has_results;
            return hold && has_results;
        };
        const std::vector<std::string> items{"short", "long"};
        co_await submit("commit", items);
        co_await m_fleet.eventually("a result is committed", [&] { return held; });
        co_await m_fleet.eventually("the other item runs",
                                    [&] { return runs_of("commit-long") == 1; });
        co_await cancel("commit", 2);
        co_await m_fleet.eventually("the other item stops",
                                    [&] { return m_engine.running() == 0; });
        hold = false;
        co_await wait_for_dispatch("after-commit-1");
        co_await wait_for_dispatch("after-commit-2");
        require(runs_of("commit-long") == 1,
                "an item does not start again when the response to a commit from before the "
                "cancellation arrives");
        m_fleet.memory.delay_response = [](const auto&) { return false; };
    }

    /// A job is cancelled while a daemon that takes it over reads its items.
    net::task<> check_cancelled_during_takeover() {
        const std::vector<std::string> items{"long"};
        co_await submit("takeover", items);
        co_await m_fleet.eventually("the item runs", [&] { return runs_of("takeover-long") == 1; });
        bool hold = true;
        bool held = false;
        bool results_read = false;
        m_fleet.memory.delay_list = [&](const std::string& prefix) {
            const bool reads_items = prefix == str_cat(jobs::items_prefix, "takeover/");
            held = held || reads_items;
            results_read = results_read || prefix == str_cat(jobs::results_prefix, "takeover/");
            return hold && reads_items;
        };
        m_runners.at(owner_of("takeover"))->begin_shutdown();
        co_await m_fleet.eventually("the next owner reads the items", [&] { return held; });
        co_await cancel("takeover", 2);
        hold = false;
        co_await m_fleet.eventually("the next owner has read the whole job",
                                    [&] { return results_read; });
        co_await wait_for_dispatch("after-takeover-1");
        co_await wait_for_dispatch("after-takeover-2");
        require(runs_of("takeover-long") == 1,
                "an item of a job that was cancelled during a takeover does not run");
        m_fleet.memory.delay_list = [](const auto&) { return false; };
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    std::map<std::string, host::fleet_daemon*> m_runners;
};

} // namespace

int main() {
    cancellation_checks().run();
}
