/// \file
/// A batch job whose creation the store carries out late is refused to its client, and runs.
///
/// usage: late_create RECORD
#include "engine.hpp"
#include "fleet.hpp"

using namespace review;

namespace {

/// A lot may have this share of the cap; two don't fit.
constexpr std::uint64_t cap = 15000;
constexpr int items = 4;
constexpr int tokens_per_item = 2500;
/// How long after a write the store carries it out (PROTOCOL: seconds later; kinds: 1 to 6 s).
constexpr std::int64_t late_ms = 5500;
/// What the client of a lot allows (deadline of the sheet).
constexpr std::int64_t deadline_ms = 4000;
/// Clients retry a few times.
constexpr std::size_t max_attempts = 3;

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
    const batch_job refused{random_id(), "tenant-a", items, tokens_per_item};

    // The writes that name this lot are done late and not answered, while this is set.
    std::atomic<bool> is_late{false};
    all.platform.fate_of_transaction = [&](const json& change) {
        const bool is_chosen = is_late && change.dump().find(refused.id) != std::string::npos;
        if (is_chosen) {
            log.line("store: a write is done %lld ms late and not answered",
                     static_cast<long long>(late_ms));
        }
        return is_chosen ? fate{.lose_answer = true, .done_after_ms = late_ms} : fate{};
    };

    std::vector<std::unique_ptr<engine>> engines;
    std::atomic<int> runs_of_refused{0};
    for (int i = 0; i < 4; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log, [](const message& request, int) {
                // Items of the other tenant are short; their results are the store's other writes.
                const bool is_short = request.header("Tenant") == "tenant-b";
                return engine_plan{.events = is_short ? 4 : 200, .event_interval_ms = 40};
            }));
        engines.back()->on_run = [&](const message& request) {
            runs_of_refused += request.header("Attempt-Id").starts_with(refused.id) ? 1 : 0;
        };
        if (!engines.back()->start()) {
            all.finish(could_not_run);
        }
    }
    configuration config;
    config.routes = json::array({batch_route(cap)});
    all.platform.put("op/config", config.to_json());
    if (!all.start() || !all.wait_until_ready(20000)) {
        all.finish(could_not_run);
    }
    const batch_job probe{random_id(), "tenant-b", 1, 100};
    const std::int64_t give_up = now_ms() + 15000;
    while (client.submit(all.edge(0).front(), probe) != 202) {
        if (now_ms() > give_up) {
            all.finish(could_not_run);
        }
        sleep_ms(300);
    }
    sleep_ms(4000);

    // The other tenant hands in small lots all the while.
    std::atomic<bool> goes_on{true};
    std::thread background([&] {
        for (int i = 0; goes_on; ++i) {
            const batch_job job{random_id(), "tenant-b", 2, 100};
            (void)client.submit(all.edge(static_cast<std::size_t>(i % 3)).front(), job);
            sleep_ms(250);
        }
    });
    sleep_ms(2000);

    is_late = trouble;
    const int writes_before = all.platform.writes;
    const std::int64_t begun = now_ms();
    // A client sends its lot, and again as Retry-After says, for up to a third of the time that it
    // has left, each time at another daemon.
    const auto hand_in = [&](const batch_job& job, std::size_t next_edge) {
        const std::int64_t sent = now_ms();
        std::vector<int> answers;
        while (answers.size() < max_attempts) {
            const std::int64_t left = deadline_ms - (now_ms() - sent);
            if (left < 100) {
                break;
            }
            std::string retry_after;
            answers.push_back(
                client.submit(all.edge(next_edge++ % 3).front(), job, left, &retry_after));
            if (answers.back() == 202) {
                break;
            }
            const std::int64_t now_left = deadline_ms - (now_ms() - sent);
            const auto hint = static_cast<std::int64_t>(std::atof(retry_after.c_str()) * 1000);
            sleep_ms(std::min(hint, now_left / 3));
        }
        return answers;
    };
    // Other clients of the same tenant come with lots of their own; one fits beside nothing else.
    std::vector<std::thread> others;
    for (int k = 0; k < 24; ++k) {
        others.emplace_back([&, k] {
            sleep_until(begun + 600 + 150 * k);
            (void)hand_in({random_id(), "tenant-a", items, tokens_per_item},
                          static_cast<std::size_t>(k));
        });
    }
    const std::vector<int> answers = hand_in(refused, 0);
    sleep_until(begun + 4500);
    is_late = false;
    const int writes = all.platform.writes - writes_before;
    log.line("store: %d of %d writes in 4.5 s were late and not answered",
             all.platform.lost_writes.load(), writes);
    const bool was_refused = std::all_of(answers.begin(), answers.end(), [](int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    });
    log.line("client: lot %s got %zu answers, %s", refused.id.c_str(), answers.size(),
             was_refused ? "each a promise that no part of it runs" : "not all of them refusals");
    sleep_until(begun + 25000);
    goes_on = false;
    background.join();
    for (std::thread& each : others) {
        each.join();
    }
    const bool is_broken = was_refused && runs_of_refused > 0;
    log.line("%d runs of items of lot %s: REFUSED %s", runs_of_refused.load(), refused.id.c_str(),
             is_broken ? "is broken" : "holds");
    const bool within_share = !trouble || all.platform.lost_writes * 100 <= writes * 35;
    if (!within_share) {
        log.line("more writes were lost than the pages allow");
    }
    all.finish(!within_share ? could_not_run : is_broken ? broken : held);
}
