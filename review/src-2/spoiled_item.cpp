/// \file
/// One answer of an engine in trouble is spoiled by bytes that belong to none. The results of the
/// other lots are listed no more.
///
/// usage: spoiled_item RECORD
#include "engine.hpp"
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int lots = 24;
constexpr int items = 6;
constexpr int events = 30;
constexpr std::int64_t finish_ms = 18000;
/// Together more than valueBytes.
constexpr int spoiled_lines = 300;

} // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    const bool trouble = has_trouble();
    fleet all(log, 2, 2);
    const batch_client client(log);

    std::mutex mutex;
    int answers = 0;
    std::string spoiled;
    std::int64_t last_run = 0;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 4; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log, [&](const message& request, int) {
                engine_plan plan{.events = events, .event_interval_ms = 30};
                const std::lock_guard lock(mutex);
                ++answers;
                if (trouble && spoiled.empty() && request.header("Tenant") == "tenant-a") {
                    spoiled = request.header("Attempt-Id");
                    plan.spoiled_lines = spoiled_lines;
                }
                return plan;
            }));
        engines.back()->on_run = [&](const message&) {
            const std::lock_guard lock(mutex);
            last_run = now_ms();
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
    sleep_ms(4000);

    std::vector<batch_job> jobs;
    for (int i = 0; i < lots; ++i) {
        jobs.push_back({random_id(), i == 0 ? "tenant-a" : "tenant-b", items, 300});
        if (client.submit(all.edge(static_cast<std::size_t>(i % 2)).front(), jobs.back()) != 202) {
            all.finish(could_not_run);
        }
        sleep_ms(200);
    }
    log.line("no further lots");
    const std::int64_t end = now_ms() + finish_ms;
    sleep_until(end);
    // Each lot is read from the start, again after each failure.
    int open_lots = 0;
    int open_items = 0;
    int readable = 0;
    for (const batch_job& job : jobs) {
        std::optional<json> page;
        for (int i = 0; i < 10 && !page; ++i) {
            page = client.read(all.edge(static_cast<std::size_t>(i % 2)).front(), job, 0);
        }
        if (!page) {
            continue;
        }
        ++readable;
        const int listed = static_cast<int>(page->at("results").size());
        const bool is_spoiled = spoiled.starts_with(job.id);
        log.line("client: lot %s lists %d of %d items%s", job.id.c_str(), listed, items,
                 is_spoiled ? " (the lot with the spoiled answer)" : "");
        if (!is_spoiled && listed < items) {
            ++open_lots;
            open_items += items - listed;
        }
    }
    const std::lock_guard lock(mutex);
    const bool was_calm = last_run + 5000 < end;
    log.line("%d answers, %d spoiled; the last run began %lld ms before finishS was over; %d items "
             "of %d other lots are not listed: LOST %s",
             answers, spoiled.empty() ? 0 : 1, static_cast<long long>(end - last_run), open_items,
             open_lots, open_items > 0 && was_calm ? "is broken" : "holds");
    const bool could_run = readable > 0 && was_calm && (!trouble || !spoiled.empty());
    all.finish(!could_run ? could_not_run : open_items > 0 ? broken : held);
}
