/// \file
/// A tenant hands in a batch job and a second one whose id goes on from the first one's with a
/// slash; another tenant hands in one whose id does, too. The processes of the job hosts are killed
/// at the same moment and are back within a second.
#include "base/text.hpp"
#include "fleet.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr int items_per_job = 3;
/// Less than the five seconds that an item takes.
constexpr duration running_time = seconds(2);
/// finishS of the deployment, and a few seconds for the items.
constexpr int reads = 26;

std::string body_of(const std::string& name) {
    std::string body = R"({"items":[)";
    for (int i = 0; i < items_per_job; ++i) {
        body += str_cat(i == 0 ? "" : ",", R"({"id":")", name, i, R"(","path":"/j/a/)", i,
                        R"(","headers":{"Model":"m","Token-Counts":"350,256"},"body":"eHh4",)",
                        R"("tokens":606})");
    }
    return body + "]}";
}

net::task<bool> submit(fleet& all, std::string id, std::string name, std::string key) {
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        net::http_request request = fleet::request("POST", "/j/a", id, body_of(name));
        request.headers.set("Credential", key);
        const reply got = co_await all.call(attempt, std::move(request), seconds(5));
        all.record(str_cat("job ", id, " with ", key, " is answered ", got.status));
        if (got.status == 202) {
            co_return true;
        }
        co_await all.wait(seconds(1));
    }
    co_return false;
}

/// The items that a read from the start lists, in order; nothing without a 200.
net::task<std::vector<std::string>> read(fleet& all, std::size_t host, std::string id,
                                         std::string key) {
    net::http_request request =
        fleet::request("GET", str_cat("/eelgrassdoor/lots/", id, "?after=0"), "read");
    request.headers.set("Credential", key);
    const reply got = co_await all.call(host, std::move(request), seconds(3));
    const auto page = nlohmann::json::parse(got.body, nullptr, false);
    std::vector<std::string> listed;
    if (got.status == 200 && page.contains("results")) {
        for (const auto& each : page["results"]) {
            listed.push_back(each.value("id", ""));
        }
    }
    all.record(str_cat("read of ", id, " with ", key, ": ", got.status, ", total ",
                       page.is_object() ? page.value("total", 0) : 0, ", items ",
                       str_join(listed, " ")));
    co_return listed;
}

net::task<int> run(fleet& all) {
    const std::string job = "settle-2026-12-07";
    // PLAIN_ID=1 is a control: the same disruption with an id that has no slash.
    const bool has_slash = std::getenv("PLAIN_ID") == nullptr;
    const std::string separator = has_slash ? "/" : "-";
    const bool accepted = co_await submit(all, job, "mine-", "key-0") &&
                          co_await submit(all, job + separator + "late", "late-", "key-0") &&
                          co_await submit(all, job + separator + "0", "theirs-", "key-1");
    if (!accepted) {
        co_return could_not_run;
    }
    co_await all.wait(running_time);
    if (has_trouble()) {
        all.spawn(all.restart_runner(1, milliseconds(500)));
        co_await all.restart_runner(0, milliseconds(500));
    }
    std::vector<std::string> listed;
    for (std::size_t i = 0; i < reads && listed.size() < items_per_job; ++i) {
        co_await all.wait(seconds(1));
        listed = co_await read(all, i % 4, job, "key-0");
    }
    // A later read, when all has ended.
    co_await all.wait(seconds(4));
    listed = co_await read(all, 0, job, "key-0");
    bool is_broken = false;
    std::set<std::string> own;
    for (const std::string& item : listed) {
        const bool is_foreign = !item.starts_with("mine-");
        if (is_foreign) {
            all.record(str_cat("MIXED: ", item, " of another job is listed in ", job));
        } else {
            own.insert(item);
        }
        is_broken = is_broken || is_foreign;
    }
    if (own.size() < items_per_job) {
        all.record(str_cat("LOST: ", own.size(), " of ", items_per_job, " items are listed"));
        is_broken = true;
    }
    for (const auto& each : all.engines()) {
        for (const auto& [attempt, tenants] : each->tenants()) {
            for (const std::string& tenant : tenants) {
                const std::string owner = attempt.starts_with("theirs-") ? "t1" : "t0";
                if (tenant != owner) {
                    all.record(str_cat("UNASKED: engine ", each->id(), " ran ", attempt,
                                       " of tenant ", owner, " as one of ", tenant));
                    is_broken = true;
                }
            }
        }
    }
    co_return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, {}, run);
}
