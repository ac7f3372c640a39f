/// \file
/// Two tenants' clients send batch jobs, one of them until its cap is reached. Then the processes
/// of all job hosts are killed at the same moment and are back within a second.
#include "base/text.hpp"
#include "fleet.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr std::uint64_t cap = 1'300'000;
/// quotaOverage of the deployment.
constexpr double overage = 0.1;
constexpr int items_per_job = 24;
constexpr std::uint64_t tokens_per_item = 760;
/// Pause of a client after a job was accepted. With the clients below, 3.1 jobs a second: six times
/// the deployment's usual.
constexpr duration pause_between_jobs = milliseconds(7500);
constexpr std::size_t large_tenant_clients = 16;
constexpr std::size_t small_tenant_clients = 7;
constexpr duration client_interval = milliseconds(320);
constexpr duration longest_retry_after = milliseconds(1300);
constexpr duration fill_timeout = seconds(70);
/// Refusals by the cap before the kill.
constexpr int enough_refusals = 30;

struct tenant_state {
    std::string key;
    /// Items of accepted jobs.
    std::vector<std::string> accepted;
    std::uint64_t largest = 0;
    int refused = 0;
};

struct run_state {
    bool stopped = false;
    int next_job = 0;
    tenant_state large{.key = "key-0"};
    tenant_state small{.key = "key-1"};
};

std::uint64_t backlog(const fleet& all, const tenant_state& tenant) {
    std::uint64_t sum = 0;
    for (const std::string& item : tenant.accepted) {
        sum += all.is_finished(item) ? 0 : tokens_per_item;
    }
    return sum;
}

/// Submits jobs one after the other; one that is refused comes again at another host when the
/// answer says so.
net::task<> send_jobs(fleet& all, run_state& state, tenant_state& tenant, std::size_t client) {
    co_await all.wait(client_interval * client);
    std::size_t host = client;
    while (!state.stopped) {
        // Ids without an order, as clients draw them.
        const std::uint64_t number = static_cast<std::uint64_t>(++state.next_job);
        const std::string id = str_cat("ca90", number * 2'654'435'761U % 4'294'967'291U);
        std::vector<std::string> items;
        std::string body = R"({"items":[)";
        for (int i = 0; i < items_per_job; ++i) {
            items.push_back(str_cat(id, "-", i));
            body += str_cat(i == 0 ? "" : ",", R"({"id":")", items.back(), R"(","path":"/j/a/)", i,
                            R"(","headers":{"Model":"m","Token-Counts":"350,410"},"body":"eHh4",)",
                            R"("tokens":)", tokens_per_item, "}");
        }
        body += "]}";
        for (int status = 0; status != 202 && !state.stopped;) {
            net::http_request request = fleet::request("POST", "/j/a", id, body);
            request.headers.set("Credential", tenant.key);
            request.headers.set("Deadline-Ms", "4000");
            const reply got = co_await all.call(host++ % 4, std::move(request), seconds(5));
            status = got.status;
            double pause = to_seconds(pause_between_jobs);
            if (status == 202) {
                tenant.accepted.insert(tenant.accepted.end(), items.begin(), items.end());
                const std::uint64_t waiting = backlog(all, tenant);
                tenant.largest = std::max(tenant.largest, waiting);
                all.record(str_cat("job ", id, " of ", tenant.key, " is accepted; tokens waiting ",
                                   waiting));
            } else {
                tenant.refused += status == 429 ? 1 : 0;
                all.record(str_cat("job ", id, " of ", tenant.key, " is answered ", status));
                pause = 0.5;
                (void)parse_double(got.headers.get("Retry-After"), pause);
                pause = std::min(pause, to_seconds(longest_retry_after));
            }
            co_await all.wait(from_seconds(pause));
        }
    }
}

net::task<int> run(fleet& all) {
    run_state state;
    for (std::size_t i = 0; i < large_tenant_clients; ++i) {
        all.spawn(send_jobs(all, state, state.large, i));
    }
    for (std::size_t i = 0; i < small_tenant_clients; ++i) {
        all.spawn(send_jobs(all, state, state.small, i));
    }
    for (duration waited{}; state.large.refused < enough_refusals && waited < fill_timeout;
         waited += milliseconds(100)) {
        co_await all.wait(milliseconds(100));
    }
    const std::uint64_t before = state.large.largest;
    all.record(str_cat("tokens waiting ", backlog(all, state.large), ", the most so far ", before,
                       ", refused for the cap ", state.large.refused));
    if (state.large.refused < enough_refusals) {
        co_return could_not_run;
    }
    if (has_trouble()) {
        for (std::size_t i = 1; i < all.runners().size(); ++i) {
            all.spawn(all.restart_runner(i, milliseconds(500)));
        }
        co_await all.restart_runner(0, milliseconds(500));
    }
    co_await all.wait(seconds(12));
    state.stopped = true;
    const double allowed = static_cast<double>(cap) * (1 + overage);
    all.record(str_cat("tokens waiting at a 202, the most: before ", before, ", in all ",
                       state.large.largest, "; cap ", cap, ", with quotaOverage ", allowed));
    co_return static_cast<double>(state.large.largest) > allowed ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, {.engines = 2, .cap = cap}, run);
}
