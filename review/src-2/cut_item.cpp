/// \file
/// Engines answer without a length or chunks, and faulty ones break off a few items' answers
/// between two events, while another one sheds requests: it answers that it doesn't run them.
///
/// usage: cut_item RECORD
#include "engine.hpp"
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int lots = 80;
constexpr int items = 20;
constexpr int events = 8;
constexpr int cut_after = 3;
constexpr int engine_count = 7;
/// The sites' garble: a share of up to 0.6 of the engines, 0.03 of their answers, for 5.5 s.
constexpr int engines_cutting = 4;
constexpr int cut_interval = 34;
/// srv_grey with shed: a share of 0.15 of the engines refuses up to 0.4 of its requests.
constexpr int shedding_engine = 6;
constexpr std::int64_t trouble_ms = 5500;

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
    int cut = 0;
    int offered = 0;
    std::map<int, int> answers_of;
    std::int64_t trouble_end = 0;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engine_count; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log, [&, i](const message& request, int) {
                engine_plan plan{.events = events, .event_interval_ms = 25, .unframed = true};
                const std::lock_guard lock(mutex);
                const bool is_rest = !request.header("Last-Event-Id").empty();
                const bool in_trouble = now_ms() < trouble_end;
                ++answers;
                if (in_trouble && i < engines_cutting && ++answers_of[i] % cut_interval == 0 &&
                    !is_rest) {
                    ++cut;
                    plan.truncate_after = cut_after;
                }
                // Of its requests those for a rest, as long as they are at most two in five.
                if (in_trouble && i == shedding_engine) {
                    ++offered;
                    if (is_rest && (refused + 1) * 5 <= offered * 2) {
                        ++refused;
                        plan.refuse = true;
                    }
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
    {
        const std::lock_guard lock(mutex);
        answers = 0;
        trouble_end = trouble ? now_ms() + trouble_ms : 0;
    }
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
    log.line(
        "%d answers, %d broken off; %d of %d requests at the shedding engine not run; %d items "
        "are listed with their whole text, %d as complete with less: MIXED %s",
        answers, cut, refused, offered, whole, wrong, wrong > 0 ? "is broken" : "holds");
    const bool is_done = whole + wrong == lots * items;
    all.finish(wrong > 0 ? broken : is_done && (!trouble || cut > 0) ? held : could_not_run);
}
