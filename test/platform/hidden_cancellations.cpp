/// \file
/// Guards against items of a cancelled job that reach targets because the response of the store
/// that reports the cancellation to the job's owner was lost.
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "platform/fixture/job_calls.hpp"

#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Within this time after a cancellation, no item of the job may reach a target any more; the
/// default of host_settings.
constexpr duration max_cancellation_delay = seconds(3);
/// How much longer a caller of the store waits for the response of a watch.
constexpr duration watch_margin = milliseconds(1200);
/// Watches that wait for less than this only ask for what has changed.
constexpr duration min_waiting_watch = milliseconds(10);
/// Items of the job that keeps the target's eight slots while the others are cancelled, and of each
/// cancelled one.
constexpr std::size_t busy_items = 8;
constexpr std::size_t waiting_items = 10;
constexpr int cancelled_jobs = 4;
/// How long an item runs: past the allowed delay, and less than a watch whose response was lost
/// hides a cancellation.
constexpr std::uint64_t events = 12;
constexpr duration event_interval = milliseconds(400);

class hidden_cancellation_checks {
public:
    hidden_cancellation_checks() : m_engine(m_fleet.add_engine("i-1")) {
        m_fleet.adjust_adapter = [this](const std::string&, host::platform_interface& adapter) {
            lose_waiting_watches(adapter);
        };
        m_runners["runner-1"] = &m_fleet.add_daemon("runner-1", false, true);
        m_fleet.add_daemon("entry-1", true, false);
        m_fleet.configure(1);
        m_engine.set_events([](const net::http_request&) { return events; });
        m_engine.set_event_interval(event_interval);
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// Loses the responses of watches that wait for cancellations while m_is_lossy.
    void lose_waiting_watches(host::platform_interface& adapter) {
        const auto watch = adapter.store.watch;
        adapter.store.watch =
            [this, watch](std::string prefix, std::uint64_t revision,
                          duration wait) -> store::kv_store::reply<store::watch_outcome> {
            const time_point sent_at = steady_clock()();
            const bool waits = prefix == jobs::cancelled_prefix && wait >= min_waiting_watch;
            result<store::watch_outcome> outcome = co_await watch(prefix, revision, wait);
            if (waits && m_is_lossy) {
                net::notification step(m_fleet.loop.get_executor());
                co_await step.wait_until(sent_at + wait + watch_margin);
                co_return error{error_code::deadline_exceeded, "no response", run_state::unknown};
            }
            co_return outcome;
        };
    }
    /// Cancels a job as another daemon does, and returns when that was acknowledged.
    net::task<time_point> cancel(std::string job) {
        store::kv_store store = m_fleet.memory.make_store();
        observe::decision_log log({.host = "test", .descriptor = -1}, steady_clock());
        jobs::job_repository repository(store, steady_clock(), log);
        const std::string customer = "c";
        const result<bool> cancelled =
            co_await repository.cancel(job, customer, steady_clock()() + seconds(1));
        require(cancelled && cancelled.value(), str_cat(job, " is cancelled"));
        co_return steady_clock()();
    }
    [[nodiscard]] std::ptrdiff_t arrivals_of(const std::string& job, time_point since) const {
        std::ptrdiff_t count = 0;
        for (std::size_t i = 0; i < m_engine.received().size(); ++i) {
            const std::string id(m_engine.received()[i].headers.get("Attempt-Id"));
            count += id.starts_with(job) && m_engine.received_at()[i] > since ? 1 : 0;
        }
        return count;
    }
    [[nodiscard]] std::string owner_of(const std::string& job) const {
        const auto state =
            jobs::decode_state(m_fleet.memory.items().at(jobs::state_key(job)).value);
        return state ? state->owner : std::string();
    }

    net::task<> run_checks() {
        co_await check_owner();
        co_await check_next_owner();
    }
    static std::string cancelled_job(const std::string& prefix, int number) {
        return str_cat(prefix, "-cancelled-", number);
    }
    /// Submits a job whose items fill the target, and those that wait for it.
    net::task<> submit_jobs(std::string prefix) {
        const std::string entry = "entry-1";
        const std::string busy = prefix + "-busy";
        co_await submit_job(m_fleet, entry, busy, busy_items);
        for (int i = 0; i < cancelled_jobs; ++i) {
            const std::string job = cancelled_job(prefix, i);
            co_await submit_job(m_fleet, entry, job, waiting_items);
        }
    }
    /// Cancels the jobs that wait, and checks what reaches the target once it has room again.
    net::task<> check_cancellations(std::string prefix) {
        std::function<bool()> is_full = [this] {
            return m_engine.running() >= static_cast<int>(busy_items) / 2;
        };
        co_await m_fleet.eventually(prefix + ": items run", is_full, seconds(20));
        m_is_lossy = true;
        time_point cancelled_at;
        for (int i = 0; i < cancelled_jobs; ++i) {
            const std::string job = cancelled_job(prefix, i);
            cancelled_at = co_await cancel(job);
        }
        std::function<bool()> has_stopped = [this, cancelled_at] {
            return m_engine.running() == 0 &&
                   steady_clock()() > cancelled_at + 2 * max_cancellation_delay;
        };
        co_await m_fleet.eventually(prefix + ": the jobs stop", has_stopped, seconds(30));
        m_is_lossy = false;
        const std::ptrdiff_t late =
            arrivals_of(prefix + "-cancelled", cancelled_at + max_cancellation_delay);
        require(late == 0, str_cat(prefix,
                                   ": no item reaches a target later than 3 s after its job's "
                                   "cancellation, got ",
                                   late));
    }
    net::task<> check_owner() {
        const std::string prefix = "owned";
        co_await submit_jobs(prefix);
        co_await check_cancellations(prefix);
    }
    /// The same at a daemon that has taken the jobs over.
    net::task<> check_next_owner() {
        const std::string prefix = "taken-over";
        co_await submit_jobs(prefix);
        m_runners["runner-2"] = &m_fleet.add_daemon("runner-2", false, true);
        m_runners.at("runner-1")->begin_shutdown();
        std::function<bool()> are_taken_over = [this, prefix] {
            bool all = owner_of(prefix + "-busy") == "runner-2";
            for (int i = 0; i < cancelled_jobs; ++i) {
                all = all && owner_of(cancelled_job(prefix, i)) == "runner-2";
            }
            return all;
        };
        co_await m_fleet.eventually("the jobs are taken over", are_taken_over, seconds(20));
        const std::size_t before = m_engine.received().size();
        std::function<bool()> goes_on = [this, before] {
            return m_engine.received().size() > before;
        };
        co_await m_fleet.eventually("the next owner runs items", goes_on, seconds(20));
        co_await check_cancellations(prefix);
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    std::map<std::string, host::fleet_daemon*> m_runners;
    bool m_is_lossy = false;
};

} // namespace

int main() {
    hidden_cancellation_checks().run();
}
