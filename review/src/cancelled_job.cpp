/// \file
/// Ends batch jobs while the storage machine that accepted them is stopped as planned and the
/// platform's store is slow, and looks for items that run later than the rule allows.
///
/// usage: cancelled_job PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"
#include "lib/jobs_client.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int contact_ms = 3000;
constexpr int cancel_ms = 3000;
constexpr int cycles = 6;
constexpr int items = 24;
/// An item of 300 events: 256 and at most 410 are usual on the site.
constexpr int events = 300;
constexpr int event_interval_ms = 25;

struct run {
    std::string item;
    std::int64_t at = 0;
};

std::mutex runs_mutex;
std::vector<run> runs;

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
    std::atomic<bool> slow{false};
    // An answer takes 4 ms, or 50 times as long.
    store.delays = [&slow](const platform_store::call&) {
        return slow ? std::pair(100, 100) : std::pair(2, 2);
    };
    std::mutex last_mutex;
    std::string last_writer;
    store.on_commit = [&](const platform_store::call& made, bool committed) {
        const bool conditional = !made.body.at("expectedRev").empty();
        const std::lock_guard lock(last_mutex);
        if (committed && conditional && made.caller.rfind("storage", 0) == 0) {
            last_writer = made.caller;
        }
    };
    store.put("op/config", jobs_configuration());
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 2; ++i) {
        engines.push_back(std::make_unique<engine>(
            "i-" + std::to_string(1000 + i), i == 0 ? "zone-a" : "zone-b", 8, record,
            [](engine& at, connection& peer, const message& request) {
                {
                    const std::lock_guard lock(runs_mutex);
                    runs.push_back({request.get("attempt-id"), now_ms()});
                }
                const bool done = stream_events(at, peer, request, events, event_interval_ms);
                at.record().line((done ? "ended " : "dropped ") + request.get("attempt-id"));
                if (!done) {
                    peer.close();
                }
            }));
        engines.back()->register_in(store, "s");
    }
    address_plan plan;
    std::vector<machine> edges;
    edges.push_back(plan.add("edge-a-1", "zone-a", "edge", store.listen("edge-a-1")));
    edges.push_back(plan.add("edge-b-1", "zone-b", "edge", store.listen("edge-b-1")));
    std::map<std::string, std::unique_ptr<process>> daemons;
    for (const machine& each : edges) {
        daemons[each.name] = std::make_unique<process>(each, argv[1], argv[2]);
    }
    for (const char* const zone : {"a", "b"}) {
        const std::string name = std::string("storage-") + zone + "-1";
        daemons[name] = std::make_unique<process>(
            plan.add(name, std::string("zone-") + zone, "storage", store.listen(name)), argv[1],
            argv[2]);
    }
    for (auto& [name, each] : daemons) {
        each->start(plan.seeds(), true);
    }
    if (!wait_ready(edges[0], 15'000) || !wait_ready(edges[1], 15'000)) {
        std::cerr << "the daemons do not become ready\n";
        return 2;
    }
    sleep_ms(contact_ms);
    int broken_cycles = 0;
    for (int cycle = 0; cycle < cycles; ++cycle) {
        const std::int64_t cycle_start = now_ms();
        const std::string job = random_id(random);
        if (submit_job(edges, job, job_body(job, items, 1500), record) != 202) {
            std::cerr << "a job was not accepted\n";
            return 2;
        }
        std::string stopped;
        {
            const std::lock_guard lock(last_mutex);
            stopped = last_writer;
        }
        sleep_ms(1000);
        slow = trouble;
        record.line(trouble ? "the store is slow" : "no trouble");
        sleep_ms(500);
        std::int64_t calm_since = cycle_start;
        if (trouble) {
            record.line("SIGTERM to " + stopped);
            daemons[stopped]->signal(SIGTERM);
        }
        std::thread stop([&] {
            if (!trouble) {
                return;
            }
            const std::int64_t limit = now_ms() + 8'000;
            while (!daemons[stopped]->has_ended() && now_ms() < limit) {
                sleep_ms(20);
            }
            daemons[stopped]->end(SIGKILL);
        });
        // The hand-over begins 0.3 s after the SIGTERM, and takes a second with a slow store.
        sleep_ms(static_cast<std::int64_t>(450 + random() % 500));
        const std::int64_t asked_at = now_ms();
        std::int64_t ended_at = 0;
        for (int attempt = 0; attempt < 20 && ended_at == 0; ++attempt) {
            record.line("end " + job + " at " + edges[attempt % 2].name);
            const int status =
                call_edge(edges[attempt % 2], "DELETE", "/eelgrassdoor/lots/" + job, {}, "", 5'500)
                    .status;
            record.line("ended? " + job + " " + std::to_string(status));
            ended_at = status == 200 ? now_ms() : 0;
            sleep_ms(status == 200 ? 0 : 200);
        }
        if (ended_at == 0) {
            ended_at = asked_at + 4'000 + contact_ms; // No acknowledgement in ackMs.
        }
        sleep_ms(std::max<std::int64_t>(0, cycle_start + 4'200 - now_ms()));
        slow = false;
        record.line("the store is as usual");
        calm_since = std::max(calm_since, now_ms());
        stop.join();
        if (trouble) {
            // Started by this thread: a daemon ends with the thread that started it.
            daemons[stopped]->start(plan.seeds(), false);
            record.line("started again: " + stopped);
        }
        calm_since = std::max(calm_since, now_ms());
        sleep_ms(std::max<std::int64_t>(0, cycle_start + 16'000 - now_ms()));
        // Every machine is in touch once the store and the storage machines have been calm for
        // contactMs.
        int late = 0;
        {
            const std::lock_guard lock(runs_mutex);
            for (const run& each : runs) {
                const bool is_late = each.item.rfind(job, 0) == 0 &&
                                     each.at > ended_at + cancel_ms &&
                                     each.at > calm_since + (trouble ? contact_ms : 0);
                late += is_late ? 1 : 0;
                if (is_late) {
                    record.line("late: " + each.item + " reached an engine " +
                                std::to_string(each.at - ended_at) + " ms after the end of " + job +
                                " was acknowledged, " + std::to_string(each.at - calm_since) +
                                " ms after the last disruption");
                }
            }
        }
        record.line("cycle " + std::to_string(cycle) + ": " + std::to_string(late) + " late items");
        broken_cycles += late > 0 ? 1 : 0;
        // Whatever is left of the job ends before the next cycle.
        for (int attempt = 0; attempt < 2; ++attempt) {
            call_edge(edges[0], "DELETE", "/eelgrassdoor/lots/" + job, {}, "", 5'500);
        }
    }
    std::cout << "cycles with items that ran later than cancelMs after the end of their job: "
              << broken_cycles << " of " << cycles << "\n";
    for (auto& [name, each] : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(broken_cycles > 0 ? 1 : 0);
}
