/// \file
/// Lots are ended, and the store's answers that tell their owner of it are lost: items go on to
/// engines long after.
///
/// usage: hidden_end RECORD
#include "engine.hpp"
#include "fleet.hpp"

#include <set>

using namespace review;

namespace {

constexpr int lots = 28;
constexpr int items = 8;
constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t contact_ms = 3000;
/// How long answers of the store to waiting watches are lost. Far less than the 4.5 s and the share
/// of 0.35 that the sites' platform_lost takes.
constexpr std::int64_t loss_ms = 100;
/// An item's text: 200 events, a pause of 40 ms between them.
constexpr int events = 200;
constexpr std::int64_t event_interval_ms = 40;

} // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    const bool trouble = has_trouble();
    fleet all(log, 3, 2);
    const batch_client client(log);

    std::atomic<bool> loses{false};
    all.platform.loses_watch_answer = [&] {
        if (loses) {
            log.line("store: the answer to a waiting watch is lost");
        }
        return loses.load();
    };

    std::mutex mutex;
    std::map<std::string, std::int64_t> ended_at;
    std::int64_t loss_end = 0;
    int late_items = 0;
    std::set<std::string> late_arrivals;
    std::int64_t first_run = 0;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 6; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log, [](const message& request, int) {
                const bool is_probe = request.header("Tenant") == "tenant-b";
                return engine_plan{.events = is_probe ? 4 : events,
                                   .event_interval_ms = event_interval_ms};
            }));
        engines.back()->on_arrival = [&](const message& request) {
            const std::lock_guard lock(mutex);
            const std::string id = request.header("Attempt-Id");
            const auto ended = ended_at.find(id.substr(0, id.find('-')));
            if (ended != ended_at.end() && now_ms() > ended->second + cancel_ms &&
                now_ms() > loss_end + contact_ms) {
                late_arrivals.insert(id);
                log.line("item %s reaches an engine %lld ms after the end of its lot was "
                         "acknowledged and %lld ms after the last disruption",
                         id.c_str(), static_cast<long long>(now_ms() - ended->second),
                         static_cast<long long>(now_ms() - loss_end));
            }
        };
        engines.back()->on_run = [&](const message& request) {
            const std::lock_guard lock(mutex);
            const std::string id = request.header("Attempt-Id");
            if (first_run == 0 && request.header("Tenant") == "tenant-a") {
                first_run = now_ms();
            }
            const bool is_late = late_arrivals.erase(id) > 0;
            if (is_late) {
                ++late_items;
                log.line("UNASKED: item %s, which reached an engine too late, runs", id.c_str());
            }
        };
        if (!engines.back()->start()) {
            all.finish(could_not_run);
        }
    }
    configuration config;
    config.routes = json::array({batch_route(0)});
    all.platform.put("op/config", config.to_json());
    if (!all.start() || !all.wait_until_ready(20000)) {
        all.finish(could_not_run);
    }
    const std::int64_t give_up = now_ms() + 15000;
    while (client.submit(all.edge(0).front(), {random_id(), "tenant-b", 1, 100}) != 202) {
        if (now_ms() > give_up) {
            all.finish(could_not_run);
        }
        sleep_ms(300);
    }
    sleep_ms(8000);

    // Planned work: one storage machine is stopped and started again. Lots that come meanwhile are
    // owned by the other one.
    all.runner(0).signal(SIGTERM);
    log.line("SIGTERM to %s", all.runner(0).node().c_str());
    if (!all.runner(0).wait_for_end(9000)) {
        all.finish(could_not_run);
    }
    std::vector<batch_job> jobs;
    for (int i = 0; i < lots; ++i) {
        jobs.push_back({random_id(), "tenant-a", items, 300});
        int status = 0;
        for (int attempt = 0; attempt < 10 && status != 202; ++attempt) {
            status = client.submit(all.edge(0).front(), jobs.back());
        }
        if (status != 202) {
            all.finish(could_not_run);
        }
    }
    all.restart(all.runner(0));
    while (true) {
        sleep_ms(10);
        const std::lock_guard lock(mutex);
        if (first_run != 0) {
            break;
        }
        if (now_ms() > give_up + 20000) {
            all.finish(could_not_run);
        }
    }
    sleep_until(first_run + 3000);
    // Between two heartbeats, so that no other answer is lost.
    const int beat = engines.back()->beats();
    while (engines.back()->beats() == beat) {
        sleep_ms(5);
    }
    sleep_ms(500);

    const int answers = all.platform.answers;
    loses = trouble;
    {
        const std::lock_guard lock(mutex);
        loss_end = now_ms() + loss_ms;
    }
    std::thread([&] {
        sleep_until(loss_end);
        loses = false;
        log.line("store: sound again");
    }).detach();
    int acknowledged = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        int status = 0;
        for (int attempt = 0; attempt < 3 && status != 200; ++attempt) {
            status = client.end(all.edge(1 + i % 2).front(), jobs[i]);
        }
        if (status == 200) {
            const std::lock_guard lock(mutex);
            ended_at[jobs[i].id] = now_ms();
            ++acknowledged;
        }
    }
    sleep_until(loss_end + 4400);
    log.line("store: %d of %d answers in 4.5 s were lost", all.platform.lost.load(),
             all.platform.answers - answers);
    const bool within_share =
        !trouble || all.platform.lost * 100 <= (all.platform.answers - answers) * 35;
    sleep_until(loss_end + 16000);
    const std::lock_guard lock(mutex);
    log.line("%d of %d ends acknowledged, %d items that came later than cancelMs ran: UNASKED %s",
             acknowledged, lots, late_items, late_items > 0 ? "is broken" : "holds");
    all.finish(acknowledged == 0 || !within_share ? could_not_run : late_items > 0 ? broken : held);
}
