/// \file
/// Engines answer without a length or chunks, and a faulty one breaks off a few items' answers
/// between two events. The engine that is asked for the rest is full: it doesn't run the request.
///
/// usage: cut_item RECORD
#include "engine.hpp"
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int lots = 12;
constexpr int items = 20;
constexpr int events = 30;
constexpr int cut_after = 12;
/// One answer in this many is broken off (the sites' garble: up to 0.03 of the answers).
constexpr int cut_interval = 40;

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
    int refused = 0;
    std::map<std::string, int> cut;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 3; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log, [&](const message& request, int) {
                engine_plan plan{.events = events, .event_interval_ms = 30, .unframed = true};
                const std::lock_guard lock(mutex);
                const std::string id = request.header("Attempt-Id");
                const bool is_first = request.header("Last-Event-Id").empty();
                if (is_first && ++answers % cut_interval == 0) {
                    cut[id] = 0;
                    plan.truncate_after = trouble ? cut_after : 0;
                } else if (cut.contains(id) && cut[id]++ == 0) {
                    plan.refuse = true;
                    ++refused;
                }
                return plan;
            }));
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
        jobs.push_back({random_id(), "tenant-a", items, 300});
        if (client.submit(all.edge(static_cast<std::size_t>(i % 2)).front(), jobs.back()) != 202) {
            all.finish(could_not_run);
        }
    }
    int whole = 0;
    int wrong = 0;
    const std::int64_t end = now_ms() + 60000;
    for (const batch_job& job : jobs) {
        std::size_t after = 0;
        while (after < static_cast<std::size_t>(items) && now_ms() < end) {
            const std::optional<json> page = client.read(all.edge(0).front(), job, after);
            if (!page) {
                sleep_ms(200);
                continue;
            }
            for (const json& each : page->at("results")) {
                const std::string id = each.at("id");
                std::string wanted;
                for (int number = 1; number <= events; ++number) {
                    wanted += (number > 1 ? "\n" : "") + engine::data_of(id, number);
                }
                const std::string state = each.at("state");
                const std::string output = each.at("output");
                const bool is_whole = state == "complete" && output == wanted;
                whole += is_whole ? 1 : 0;
                if (state == "complete" && output != wanted) {
                    ++wrong;
                    const auto lines = std::count(output.begin(), output.end(), '\n') + 1;
                    log.line("MIXED: item %s is listed as complete with %ld of %d events",
                             id.c_str(), static_cast<long>(lines), events);
                }
            }
            after = page->at("next");
        }
    }
    log.line("%zu of %d answers were chosen, %d runs for the rest were not run; %d items are "
             "listed with their whole text, %d as complete with less: MIXED %s",
             cut.size(), answers, refused, whole, wrong, wrong > 0 ? "is broken" : "holds");
    const bool is_done = whole + wrong == lots * items;
    all.finish(wrong > 0 ? broken : is_done && !cut.empty() ? held : could_not_run);
}
