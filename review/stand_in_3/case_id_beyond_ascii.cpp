/// \file
/// A client sends batch jobs whose Attempt-Id holds a byte beyond ASCII; then another tenant ends a
/// job of its own and hands in new ones.
#include "base/text.hpp"
#include "fleet.hpp"

#include <filesystem>
#include <map>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr int odd_jobs = 600;
constexpr int at_once = 100;
constexpr int sound_jobs = 4;
/// Runs for a minute at two engines of eight slots.
constexpr int long_job_items = 200;
/// More than contactMs.
constexpr duration calm_time = seconds(5);
/// ackMs and cancelMs of the deployment.
constexpr duration ack_time = milliseconds(4000);
constexpr duration cancel_time = milliseconds(3000);
constexpr duration watch_time = seconds(6);

std::string body_of(const std::string& name, int items) {
    std::string body = R"({"items":[)";
    for (int i = 0; i < items; ++i) {
        body += str_cat(i == 0 ? "" : ",", R"({"id":")", name, i, R"(","path":"/j/a/)", i,
                        R"(","headers":{"Model":"m","Token-Counts":"350,256"},"body":"eHh4",)",
                        R"("tokens":606})");
    }
    return body + "]}";
}

struct progress {
    int next = 0;
    int ended = 0;
    std::map<int, int> by_status;
};

net::task<> send_odd_jobs(fleet& all, progress& done) {
    while (done.next < odd_jobs) {
        const int number = done.next++;
        const std::string id = str_cat(has_trouble() ? "caf\xe9-" : "cafe-", number);
        net::http_request request =
            fleet::request("POST", "/j/a", id, body_of(str_cat("odd-", number, "-"), 1));
        request.headers.set("Deadline-Ms", "6000");
        const reply got =
            co_await all.call(static_cast<std::size_t>(number) % 4, std::move(request), seconds(7));
        ++done.by_status[got.status];
        ++done.ended;
    }
}

std::size_t open_files(pid_t process) {
    std::size_t count = 0;
    std::error_code ec;
    for (auto it = std::filesystem::directory_iterator(str_cat("/proc/", process, "/fd"), ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
        ++count;
    }
    return count;
}

/// Asks all hosts in turn to end the job. Returns when the end counts as acknowledged: at the first
/// 200, or ackMs after the first call.
net::task<time_point> end_job(fleet& all, std::string job) {
    const time_point first = steady_clock()();
    for (std::size_t host = 0; steady_clock()() < first + ack_time; ++host) {
        net::http_request request =
            fleet::request("DELETE", str_cat("/eelgrassdoor/lots/", job), "end");
        request.headers.set("Credential", "key-1");
        const reply got = co_await all.call(host % 4, std::move(request), seconds(3));
        all.record(str_cat("the end of the long job is answered ", got.status));
        if (got.status == 200) {
            co_return steady_clock()();
        }
        co_await all.wait(milliseconds(500));
    }
    co_return first + ack_time;
}

net::task<int> run(fleet& all) {
    const std::string long_job = "10e9";
    net::http_request request =
        fleet::request("POST", "/j/a", long_job, body_of("long-", long_job_items));
    request.headers.set("Credential", "key-1");
    const reply accepted = co_await all.call(0, std::move(request), seconds(5));
    all.record(str_cat("the long job is answered ", accepted.status));
    if (accepted.status != 202) {
        co_return could_not_run;
    }
    progress done;
    for (int i = 0; i < at_once; ++i) {
        all.spawn(send_odd_jobs(all, done));
    }
    while (done.ended < odd_jobs) {
        co_await all.wait(milliseconds(100));
    }
    for (const auto& [status, count] : done.by_status) {
        all.record(str_cat("odd jobs answered ", status, ": ", count));
    }
    co_await all.wait(calm_time);
    for (const auto& each : all.runners()) {
        all.record(str_cat(each->spec().host, each->is_running() ? " runs" : " has ended",
                           ", open files ", open_files(each->pid()), ", resident ",
                           fleet::memory_mb(each->pid()), " MB"));
    }
    const time_point acknowledged_at = co_await end_job(all, long_job);
    all.record("the end of the long job counts as acknowledged");
    int accepted_jobs = 0;
    for (int job = 0; job < sound_jobs; ++job) {
        const std::string id = str_cat("50d0", job);
        net::http_request sound = fleet::request("POST", "/j/a", id, body_of("sound-", 1));
        sound.headers.set("Credential", "key-1");
        const reply got =
            co_await all.call(static_cast<std::size_t>(job) % 4, std::move(sound), seconds(5));
        all.record(str_cat("sound job ", id, " is answered ", got.status));
        accepted_jobs += got.status == 202 ? 1 : 0;
    }
    co_await all.wait(acknowledged_at + cancel_time + watch_time - steady_clock()());
    int late = 0;
    for (const auto& each : all.engines()) {
        for (const auto& [attempt, arrived_at] : each->arrivals()) {
            const bool is_late =
                attempt.starts_with("long-") && arrived_at > acknowledged_at + cancel_time;
            late += is_late ? 1 : 0;
        }
    }
    all.record(str_cat("sound jobs accepted: ", accepted_jobs, " of ", sound_jobs,
                       "; items of the ended job that reached engines more than cancelMs after "
                       "the end was acknowledged, and ran: ",
                       late));
    co_return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, {.engines = 2}, run);
}
