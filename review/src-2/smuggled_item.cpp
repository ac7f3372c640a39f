/// \file
/// A client hands in an item one of whose headers holds line ends and a second request in the name
/// of another tenant.
///
/// usage: smuggled_item RECORD
#include "engine.hpp"
#include "fleet.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc < 2) {
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record log(argv[1]);
    const bool trouble = has_trouble();
    fleet all(log, 2, 2);
    const batch_client client(log);
    // Neither client nor tenant-b sends a request with this id.
    const std::string smuggled_id = random_id();

    std::atomic<int> smuggled_runs{0};
    std::atomic<int> sound_runs{0};
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 3; ++i) {
        engines.push_back(std::make_unique<engine>(
            engine_options{.id = "i-" + random_id(),
                           .service = "intake-lm",
                           .at = {all.addresses.next(), 8080},
                           .zone = i % 2 == 0 ? "zone-a" : "zone-b"},
            all.platform, log,
            [](const message&, int) { return engine_plan{.events = 8, .event_interval_ms = 20}; }));
        engines.back()->on_run = [&](const message& request) {
            const bool is_smuggled = request.header("Attempt-Id") == smuggled_id;
            (is_smuggled ? smuggled_runs : sound_runs) += 1;
            if (is_smuggled) {
                log.line("UNASKED: an engine runs %s %s, Attempt-Id %s, Tenant %s, which no client "
                         "sent",
                         request.method.c_str(), request.target.c_str(), smuggled_id.c_str(),
                         request.header("Tenant").c_str());
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
    sleep_ms(3000);

    int accepted = 0;
    for (int i = 0; i < 3; ++i) {
        const batch_job job{random_id(), "tenant-a", 4, 300};
        std::string note = "dock 4";
        if (trouble) {
            // The rest of the item's own request, and a second one behind it.
            note += "\r\nHost: batch.example\r\nAttempt-Id: " + job.item_id(0) +
                    "\r\nContent-Length: 0\r\n\r\nPOST /batch/foreign/0 HTTP/1.1\r\nHost: "
                    "batch.example\r\nModel: m\r\nAttempt-Id: " +
                    smuggled_id + "\r\nTenant: tenant-b\r\nContent-Length: 0\r\n\r\n";
        }
        const int status = client.submit(all.edge(static_cast<std::size_t>(i % 2)).front(), job,
                                         4000, nullptr, {{"X-Note", note}});
        accepted += status == 202 ? 1 : 0;
    }
    sleep_ms(8000);
    log.line("%d of 3 lots accepted, %d sound runs, %d runs of a request that no client sent: "
             "UNASKED %s",
             accepted, sound_runs.load(), smuggled_runs.load(),
             smuggled_runs > 0 ? "is broken" : "holds");
    const bool could_run = sound_runs > 1 || trouble;
    all.finish(smuggled_runs > 0 ? broken : could_run ? held : could_not_run);
}
