/// \file
/// Starts the system on a store that holds the records of the jobs of earlier days, and counts the
/// storage daemons that pass their memory limit.
///
/// usage: old_jobs PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"
#include "lib/jobs_client.hpp"

#include <iostream>

using namespace review;

namespace {

/// Two weeks of the site's traffic: 0.514 batch jobs a second are 44,410 a day.
constexpr std::size_t old_jobs = 14 * 44'410;
/// How long the daemons are watched at most. It ends early when the rule is broken.
constexpr int watched_s = 95;
/// The rule: on two machines processes end by themselves three times.
constexpr int allowed_ends = 2;
constexpr int submit_interval_ms = 2000;
constexpr int events = 200;
constexpr int event_interval_ms = 25;

/// Results of \p job that an edge daemon lists; nothing when the read fails.
std::optional<std::size_t> listed_results(const machine& edge, const std::string& job) {
    const message answer =
        call_edge(edge, "GET", "/eelgrassdoor/lots/" + job + "?after=0", {}, "", 2'500);
    const auto page = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !page.is_object()) {
        return std::nullopt;
    }
    return page.at("results").size();
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
                const bool done = quick
                                      ? stream_events(at, peer, request, 3, 5)
                                      : stream_events(at, peer, request, events, event_interval_ms);
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
    for (int i = 0; i < 50 && listed_results(edges[0], first) != 1; ++i) {
        sleep_ms(200);
    }
    if (listed_results(edges[0], first) != 1) {
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
            if (submit_job(edges, job, job_body(job, 4, 1500), record) == 202) {
                jobs.push_back(job);
            }
            sleep_ms(submit_interval_ms);
        }
    });
    const std::int64_t end = now_ms() + watched_s * 1000;
    std::int64_t next_sample = now_ms();
    const auto machines_over = [&ends] {
        int count = 0;
        for (const auto& [name, number] : ends) {
            count += number > allowed_ends ? 1 : 0;
        }
        return count;
    };
    while (now_ms() < end && machines_over() < 2) {
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
    stopped = true;
    client.join();
    std::size_t done = 0;
    for (const std::string& job : jobs) {
        done += listed_results(edges[0], job).value_or(0);
    }
    for (const auto& [name, count] : ends) {
        record.line("ends of " + name + ": " + std::to_string(count));
        std::cout << "ends of " << name << ": " << count << ", ";
    }
    std::cout << "machines with three or more: " << machines_over()
              << " (two are a fault); peak memory of storage-a-1: "
              << static_cast<int>(peak["storage-a-1"]) << " MB; items listed: " << done << " of "
              << jobs.size() * 4 << "\n";
    for (const auto& each : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(machines_over() >= 2 ? 1 : 0);
}
