/// \file
/// Starts the system on a store that holds the records of the jobs of earlier days, and looks for
/// items that are never listed, as the storage daemons pass their memory limit.
///
/// usage: old_jobs PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"
#include "lib/jobs_client.hpp"

#include <iostream>

using namespace review;

namespace {

/// Two weeks of the site's traffic: 0.514 batch jobs a second are 44,410 a day.
constexpr std::size_t old_jobs = 14 * 44'410;
constexpr int traffic_ms = 25'000;
/// finishS, and the times for which the rule excuses an item.
constexpr int finish_ms = 18'000;
constexpr int had_excuse_ms = 5'000;
constexpr int finished_excuse_ms = 3'000;
constexpr int failed_excuse_ms = 20'000;
constexpr int items = 4;
constexpr int submit_interval_ms = 2000;
constexpr int events = 200;
constexpr int event_interval_ms = 25;

std::mutex work_mutex;
/// When an engine last worked on each item, and when any item was finished last.
std::map<std::string, std::int64_t> worked_at;
std::int64_t finished_at = 0;

void record_work(const std::string& item, bool is_finished) {
    const std::lock_guard lock(work_mutex);
    worked_at[item] = now_ms();
    finished_at = is_finished ? now_ms() : finished_at;
}

/// The items of \p job that an edge daemon lists; nothing when the read fails.
std::optional<std::set<std::string>> listed_items(const machine& edge, const std::string& job) {
    const message answer =
        call_edge(edge, "GET", "/eelgrassdoor/lots/" + job + "?after=0", {}, "", 2'500);
    const auto page = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !page.is_object()) {
        return std::nullopt;
    }
    std::set<std::string> listed;
    for (const auto& result : page.at("results")) {
        listed.insert(result.at("id").get<std::string>());
    }
    return listed;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    recorder record(argv[3]);
    std::mt19937_64 random(std::random_device{}());
    platform_store store;
    store.put("op/config", jobs_configuration());
    std::atomic<bool> quick{true};
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 2; ++i) {
        engines.push_back(std::make_unique<engine>(
            "i-" + std::to_string(1000 + i), i == 0 ? "zone-a" : "zone-b", 8, record,
            [&quick](engine& at, connection& peer, const message& request) {
                record_work(request.get("attempt-id"), false);
                const bool done = quick
                                      ? stream_events(at, peer, request, 3, 5)
                                      : stream_events(at, peer, request, events, event_interval_ms);
                record_work(request.get("attempt-id"), done);
                at.record().line((done ? "ended " : "dropped ") + request.get("attempt-id"));
                if (!done) {
                    peer.close();
                }
            }));
        engines.back()->register_in(store, "s");
    }
    address_plan plan;
    std::vector<machine> edges;
    std::vector<std::unique_ptr<process>> daemons;
    for (const char* const name : {"edge-a-1", "edge-b-1"}) {
        edges.push_back(plan.add(name, std::string("zone-") + name[5], "edge", store.listen(name)));
        daemons.push_back(std::make_unique<process>(edges.back(), argv[1], argv[2]));
    }
    for (const char* const name : {"storage-a-1", "storage-b-1"}) {
        daemons.push_back(std::make_unique<process>(
            plan.add(name, std::string("zone-") + name[8], "storage", store.listen(name)), argv[1],
            argv[2]));
    }
    const auto start_all = [&](bool bootstrap) {
        for (const auto& each : daemons) {
            each->start(plan.seeds(), bootstrap);
        }
        return wait_ready(edges[0], 15'000) && wait_ready(edges[1], 15'000);
    };
    if (!start_all(true)) {
        std::cerr << "the daemons do not become ready\n";
        return 2;
    }
    // The system itself writes the records of one job, from the submission to the last result.
    sleep_ms(2'000);
    const std::string first = random_id(random);
    if (submit_job(edges, first, job_body(first, 1, 10), record) != 202) {
        std::cerr << "the first job was not accepted\n";
        return 2;
    }
    const auto is_listed = [&] {
        const auto listed = listed_items(edges[0], first);
        return listed && listed->size() == 1;
    };
    for (int i = 0; i < 50 && !is_listed(); ++i) {
        sleep_ms(200);
    }
    if (!is_listed()) {
        std::cerr << "the first job did not finish\n";
        return 2;
    }
    for (const auto& each : daemons) {
        each->end(SIGTERM);
    }
    if (trouble) {
        store.copy_records(first, old_jobs);
        record.line("the store holds the records of " + std::to_string(old_jobs) +
                    " finished jobs");
    }
    quick = false;
    if (!start_all(false)) {
        std::cerr << "the daemons do not become ready again\n";
        return 2;
    }
    std::map<std::string, int> ends;
    std::map<std::string, double> peak;
    std::vector<std::string> jobs;
    std::atomic<bool> stopped{false};
    std::thread client([&] {
        while (!stopped) {
            const std::string job = random_id(random);
            if (submit_job(edges, job, job_body(job, items, 1500), record) == 202) {
                jobs.push_back(job);
            }
            sleep_ms(submit_interval_ms);
        }
    });
    const std::int64_t traffic_end = now_ms() + traffic_ms;
    const std::int64_t end = traffic_end + finish_ms + 1'000;
    std::int64_t next_sample = now_ms();
    while (now_ms() < end) {
        stopped = now_ms() >= traffic_end;
        const bool sample = now_ms() >= next_sample;
        next_sample += sample ? 1000 : 0;
        for (const auto& each : daemons) {
            const double used = each->memory_mb();
            double& most = peak[each->own().name];
            most = std::max(most, used);
            if (sample) {
                record.line("memory " + each->own().name + " " + std::to_string(used) + " MB");
            }
            const bool over_limit = used > each->own().memory_mb * 1.048576;
            if (!over_limit && !each->has_ended()) {
                continue;
            }
            record.line(
                (over_limit ? "killed by the platform for its memory: " : "ended by itself: ") +
                each->own().name + " at " + std::to_string(used) + " MB");
            ++ends[each->own().name];
            each->end(SIGKILL);
            sleep_ms(500);
            each->start(plan.seeds(), false);
        }
        sleep_ms(3);
    }
    client.join();
    int missing = 0;
    int running = 0;
    for (const auto& each : engines) {
        running += each->running();
    }
    for (const std::string& job : jobs) {
        std::optional<std::set<std::string>> listed;
        for (int attempt = 0; attempt < 4 && !listed; ++attempt) {
            listed = listed_items(edges[static_cast<std::size_t>(attempt) % 2], job);
        }
        if (!listed) {
            record.line("not readable: " + job);
            continue;
        }
        const std::lock_guard lock(work_mutex);
        std::int64_t job_worked_at = 0;
        for (int i = 0; i < items; ++i) {
            job_worked_at = std::max(job_worked_at, worked_at[job + "-" + std::to_string(i)]);
        }
        const bool excused = now_ms() - job_worked_at < had_excuse_ms ||
                             now_ms() - finished_at < finished_excuse_ms || running >= 8;
        for (int i = 0; i < items; ++i) {
            const std::string item = job + "-" + std::to_string(i);
            const std::int64_t idle = now_ms() - worked_at[item];
            if (listed->contains(item)) {
                continue;
            }
            const bool counts = !excused && idle > failed_excuse_ms;
            record.line("not listed: " + item + (counts ? "" : " (excused)"));
            missing += counts ? 1 : 0;
        }
    }
    for (const auto& [name, count] : ends) {
        record.line("ends of " + name + ": " + std::to_string(count));
        std::cout << "ends of " << name << ": " << count << ", ";
    }
    std::cout << "peak memory of storage-a-1: " << static_cast<int>(peak["storage-a-1"])
              << " MB; items not listed " << (now_ms() - traffic_end) / 1000
              << " s after the traffic: " << missing << " of " << jobs.size() * items
              << ", requests at engines: " << running << "\n";
    for (const auto& each : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(missing > 0 ? 1 : 0);
}
