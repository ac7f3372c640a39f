/// \file
/// A client sends batch jobs whose Attempt-Id holds a byte beyond ASCII; then others send sound
/// ones.
#include "base/text.hpp"
#include "fleet.hpp"

#include <filesystem>
#include <map>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr int odd_jobs = 600;
constexpr int at_once = 100;
constexpr int sound_jobs = 8;

std::string body_of(const std::string& item) {
    return str_cat(R"({"items":[{"id":")", item, R"(","path":"/j/a/1","headers":{"Model":"m",)",
                   R"("Token-Counts":"350,256"},"body":"eHh4","tokens":606}]})");
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
        const std::string item = str_cat("odd-", number);
        net::http_request request = fleet::request("POST", "/j/a", id, body_of(item));
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

net::task<int> run(fleet& all) {
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
    co_await all.wait(seconds(10));
    for (const auto& each : all.runners()) {
        all.record(str_cat(each->spec().host, each->is_running() ? " runs" : " has ended",
                           ", open files ", open_files(each->pid()), ", resident ",
                           fleet::memory_mb(each->pid()), " MB"));
    }
    // Each sound job is tried twice, at another host the second time, ten seconds after the last
    // odd one.
    int accepted = 0;
    for (int job = 0; job < sound_jobs; ++job) {
        const std::string id = str_cat("50d0", job);
        const std::string body = body_of(str_cat("sound-", job));
        for (std::size_t attempt = 0; attempt < 2; ++attempt) {
            net::http_request request = fleet::request("POST", "/j/a", id, body);
            request.headers.set("Deadline-Ms", "4000");
            request.headers.set("Credential", "key-1");
            const reply got = co_await all.call((static_cast<std::size_t>(job) + attempt) % 4,
                                                std::move(request), seconds(5));
            all.record(str_cat("sound job ", id, " is answered ", got.status));
            if (got.status == 202) {
                ++accepted;
                break;
            }
        }
    }
    all.record(str_cat("sound jobs accepted: ", accepted, " of ", sound_jobs));
    co_return accepted == 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, {}, run);
}
