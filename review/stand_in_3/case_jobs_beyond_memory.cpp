/// \file
/// A tenant hands in large batch jobs inside the limits and below its cap. Another tenant's job
/// runs at engines of its own.
#include "base/text.hpp"
#include "fleet.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr std::uint64_t cap = 1'300'000;
/// 240 jobs of 7 items of 760 tokens are 1,276,800, less than the cap. An item is smaller than the
/// site's largest, 570,000 bytes, and a job smaller than the limit of a body, 4,194,304 bytes.
constexpr int large_jobs = 240;
constexpr int large_items = 7;
constexpr std::size_t large_item_bytes = 445'000;
constexpr duration large_interval = milliseconds(250);
/// The other tenant's job is handed in some ten seconds before the job hosts are full. Its id is
/// one of those that come late in the order of ids.
constexpr int other_items = 60;
constexpr int jobs_before_other = 120;
constexpr const char* other_job = "fe5a80b2c941d673";
/// finishS of the deployment.
constexpr duration finish_time = seconds(18);
/// What LOST asks of the time before.
constexpr duration calm_time = seconds(5);
constexpr duration quiet_time = seconds(3);

struct item_kind {
    std::string path;
    std::string tokens;
    std::size_t bytes;
};

std::string make_body(const std::string& job, int items, const item_kind& kind) {
    const std::string content = to_base64(std::string(kind.bytes, 'x'));
    std::string body = R"({"items":[)";
    for (int i = 0; i < items; ++i) {
        body += str_cat(i == 0 ? "" : ",", R"({"id":")", job, "-", i, R"(","path":")", kind.path, i,
                        R"(","headers":{"Model":"m","Token-Counts":")", kind.tokens,
                        R"("},"body":")", content, R"(","tokens":760})");
    }
    return body + "]}";
}

/// Submits a job until it is accepted; three client attempts.
net::task<bool> submit(fleet& all, std::string job, std::string body, std::string path,
                       std::string key, std::size_t host) {
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        net::http_request request = fleet::request("POST", path, job, body);
        request.headers.set("Credential", key);
        request.headers.set("Deadline-Ms", "4000");
        const reply got = co_await all.call((host + attempt) % 4, std::move(request), seconds(5));
        if (got.status == 202) {
            co_return true;
        }
        all.record(str_cat("job ", job, " is answered ", got.status));
        co_await all.wait(milliseconds(700));
    }
    co_return false;
}

net::task<> submit_large(fleet& all, int& accepted, int number) {
    const std::string job =
        str_cat(absl::Hex(static_cast<std::uint32_t>(number) * 2'654'435'761U, absl::kZeroPad8));
    const item_kind kind{"/j/a/", "350,410", large_item_bytes};
    std::string body = make_body(job, large_items, kind);
    const bool is_accepted = co_await submit(all, job, std::move(body), "/j/a", "key-0",
                                             static_cast<std::size_t>(number));
    accepted += is_accepted ? 1 : 0;
}

net::task<> watch_memory(fleet& all, const int& accepted) {
    for (;;) {
        co_await all.wait(seconds(5));
        for (const auto& each : all.runners()) {
            all.record(str_cat(each->spec().host, " holds ", fleet::memory_mb(each->pid()),
                               " MB; large jobs accepted ", accepted));
        }
    }
}

/// Number of listed items of the other job, at the first host that answers with 200.
net::task<std::size_t> count_listed(fleet& all) {
    for (std::size_t host = 0; host < 8; ++host) {
        net::http_request request =
            fleet::request("GET", str_cat("/eelgrassdoor/lots/", other_job, "?after=0"), "read");
        request.headers.set("Credential", "key-1");
        const reply got = co_await all.call(host % 4, std::move(request), seconds(3));
        const auto page = nlohmann::json::parse(got.body, nullptr, false);
        all.record(str_cat("read of ", other_job, ": ", got.status));
        if (got.status == 200 && page.contains("results")) {
            co_return page["results"].size();
        }
    }
    co_return other_items;
}

net::task<int> run(fleet& all) {
    for (const auto& each : all.runners()) {
        all.spawn(all.enforce_memory(*each));
    }
    int accepted = 0;
    all.spawn(watch_memory(all, accepted));
    for (int number = 1; number <= large_jobs; ++number) {
        if (has_trouble()) {
            all.spawn(submit_large(all, accepted, number));
        }
        if (number == jobs_before_other) {
            const item_kind kind{"/k/a/", "350,410", 1500};
            std::string body = make_body(other_job, other_items, kind);
            const bool is_accepted =
                co_await submit(all, other_job, std::move(body), "/k/a", "key-1", 0);
            all.record(str_cat("job ", other_job, is_accepted ? " is accepted" : " is given up"));
            if (!is_accepted) {
                co_return could_not_run;
            }
        }
        co_await all.wait(large_interval);
    }
    all.record("the traffic has ended");
    co_await all.wait(finish_time);
    // Judged at this moment: finishS is over.
    const time_point now = steady_clock()();
    time_point held = time_point::min();
    time_point finished = time_point::min();
    for (const auto& each : all.engines()) {
        held = each->service() == "s2" ? std::max(held, each->last_held()) : held;
        finished = std::max(finished, each->last_finished());
    }
    const bool engines_idle = held < now - calm_time;
    const bool none_finished = finished < now - quiet_time;
    all.record(str_cat("large jobs accepted ", accepted, "; the engines of ", other_job,
                       engines_idle ? " held nothing" : " held requests",
                       " in the last 5 s; items that any engine finished in the last 3 s: ",
                       none_finished ? "none" : "some"));
    const std::size_t listed = co_await count_listed(all);
    all.record(str_cat("listed ", listed, " of ", other_items));
    for (const auto& each : all.runners()) {
        all.record(str_cat(each->spec().host, " was ended for its memory ",
                           all.ends_by_memory(*each), " times"));
    }
    co_return listed < other_items&& engines_idle&& none_finished ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 6,
              .cap = cap,
              .services = {"s", "s2", "s"},
              .item_events = 410,
              .event_interval = milliseconds(60)},
             run);
}
