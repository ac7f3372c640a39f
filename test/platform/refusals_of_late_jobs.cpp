/// \file
/// Guards against jobs that are refused as not run, at any attempt, and run all the same, because
/// the store carries out an earlier attempt to create them late.
#include "base/digest.hpp"
#include "base/text.hpp"
#include "platform/fixture/daemon_fixture.hpp"
#include "platform/fixture/job_calls.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

constexpr std::uint64_t cap = 1000;
/// Below the tokens of a tested job.
constexpr std::uint64_t reduced_cap = 100;
/// Tokens of each job: more than half of the cap.
constexpr std::size_t items = 60;

class late_job_checks {
public:
    late_job_checks() : m_engine(m_fleet.add_engine("i-1")) {
        for (const std::string name : {"runner-1", "runner-2"}) {
            m_fleet.add_daemon(name, false, true, [this, name](std::string_view endpoint) {
                return is_cut(name, endpoint);
            });
        }
        for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
            m_fleet.add_daemon(name, true, false, [this, name](std::string_view endpoint) {
                return is_cut(name, endpoint);
            });
        }
        m_fleet.configure(m_version);
        m_fleet.memory.postpone = [this](const store::kv_transaction& change) {
            return std::any_of(change.writes.begin(), change.writes.end(), [&](const auto& each) {
                return each.key == jobs::state_key(m_postponed);
            });
        };
    }

    [[noreturn]] void run() {
        m_fleet.run([this] { return run_checks(); });
    }

private:
    /// Whether \p name and the daemon at \p endpoint don't reach each other.
    [[nodiscard]] bool is_cut(const std::string& name, std::string_view endpoint) const {
        return !m_cut_off.empty() &&
               (name == m_cut_off || endpoint == m_fleet.peer_endpoint(m_cut_off));
    }
    net::task<int> submit(std::string entry, std::string job) {
        net::http_request request = daemon_fixture::request(job, "/j/x");
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t i = 0; i < items; ++i) {
            list.push_back({{"id", str_cat(job, "-item", i)},
                            {"path", str_cat("/j/", job, "/", i)},
                            {"headers", {{"Model", "m"}}},
                            {"body", to_base64("body")},
                            {"tokens", 10}});
        }
        request.body = nlohmann::json{{"items", list}}.dump();
        const auto got = co_await m_fleet.call(m_fleet.caller_endpoint(entry), std::move(request));
        co_return got.status;
    }
    /// Writes a configuration in which this many tokens may wait, and waits until it is in force.
    net::task<> set_cap(std::uint64_t tokens) {
        m_fleet.configure(++m_version);
        nlohmann::json all = nlohmann::json::parse(m_fleet.memory.items().at("op/config").value);
        all["routes"].back()["cap"] = tokens;
        m_fleet.memory.put("op/config", all.dump());
        std::string probe;
        int status = 0;
        const int wanted = tokens == cap ? 202 : 429;
        const time_point end = steady_clock()() + seconds(20);
        while (status != wanted && steady_clock()() < end) {
            // Each is a job of its own: one that was accepted is never refused.
            probe = str_cat("probe-", ++m_probes);
            status = co_await submit("entry-1", probe);
            if (status == 202) {
                co_await wait_until_finished(probe);
            }
        }
        require(status == wanted, str_cat("a cap of ", tokens, " is in force"));
    }
    net::task<> wait_until_finished(std::string job) {
        std::function<bool()> is_done = [this, job] { return is_finished(job); };
        co_await m_fleet.eventually(job + " ends", is_done, seconds(30));
    }
    [[nodiscard]] bool is_finished(const std::string& job) const {
        const auto found = m_fleet.memory.items().find(jobs::state_key(job));
        const auto state = found == m_fleet.memory.items().end()
                               ? std::nullopt
                               : jobs::decode_state(found->second.value);
        return state && state->finished();
    }
    [[nodiscard]] std::ptrdiff_t runs_of(const std::string& job) const {
        return std::count_if(m_engine.received().begin(), m_engine.received().end(),
                             [&](const net::http_request& each) {
                                 return each.headers.get("Attempt-Id").starts_with(job + "-");
                             });
    }

    net::task<> run_checks() {
        int status = 0;
        for (int i = 0; i < 300 && status != 202; ++i) {
            status = co_await submit("entry-1", "warm-up");
        }
        co_await wait_until_finished("warm-up");
        for (const bool cuts_first_runner : {false, true}) {
            co_await check_late_creation(cuts_first_runner);
        }
        co_await check_accepted_after_refusal();
    }
    /// The job does not fit any more when its client tries again. With \p cuts_first_runner, the
    /// runner of the first attempt is out of reach by then.
    net::task<> check_late_creation(bool cuts_first_runner) {
        const std::string job = cuts_first_runner ? "late-cut" : "late";
        m_postponed = job;
        const int first = co_await submit("entry-1", job);
        require(first != 429 && first != 503,
                str_cat(job, ": an unknown outcome is no promise, got ", first));
        if (cuts_first_runner) {
            m_cut_off = owner_by_rank(job);
        }
        co_await set_cap(reduced_cap);
        const int second = co_await submit("entry-2", job);
        const int third = co_await submit("entry-3", job);
        m_postponed.clear();
        std::function<bool()> is_decided = [this] {
            return m_fleet.memory.postponed_transactions() == 0;
        };
        co_await m_fleet.eventually("the store decides on the late creation", is_decided);
        m_cut_off.clear();
        const bool is_promised = second == 429 || second == 503 || third == 429 || third == 503;
        const bool exists = m_fleet.memory.items().contains(jobs::state_key(job));
        require(!is_promised || !exists, str_cat(job, ": a job that was refused with ", second,
                                                 " and ", third, " does not come into being"));
        if (exists) {
            co_await wait_until_finished(job);
        }
        require(!is_promised || runs_of(job) == 0, job + ": no part of a refused job runs");
        co_await set_cap(cap);
    }
    /// The runner that is asked for the job first: it has the highest rendezvous weight.
    [[nodiscard]] static std::string owner_by_rank(const std::string& job) {
        const std::uint64_t hash = stable_hash(job);
        return rendezvous_weight(hash, "runner-1") > rendezvous_weight(hash, "runner-2")
                   ? "runner-1"
                   : "runner-2";
    }
    /// A refusal does not keep the job out once there is room for it.
    net::task<> check_accepted_after_refusal() {
        const std::string job = "refused";
        co_await set_cap(reduced_cap);
        const int refused = co_await submit("entry-1", job);
        require(refused == 429, str_cat("a job that does not fit is refused, got ", refused));
        co_await set_cap(cap);
        int accepted = 0;
        for (int i = 0; i < 300 && accepted != 202; ++i) {
            accepted = co_await submit("entry-2", job);
        }
        require(accepted == 202, str_cat("a refused job is accepted later, got ", accepted));
        co_await wait_until_finished(job);
    }

    daemon_fixture m_fleet;
    scripted_engine& m_engine;
    int m_version = 1;
    int m_probes = 0;
    /// Creations of this job are postponed.
    std::string m_postponed;
    /// This daemon and the others don't reach each other.
    std::string m_cut_off;
};

} // namespace

int main() {
    late_job_checks().run();
}
