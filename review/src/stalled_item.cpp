/// \file
/// Has one engine in trouble lose the work on some batch items while their streams stay open and
/// send a byte now and then, and looks for items that are never listed.
///
/// usage: stalled_item PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"
#include "lib/jobs_client.hpp"

#include <iostream>

using namespace review;

namespace {

/// One of seven engines is in trouble, and loses two of five requests, for some seconds.
constexpr int engines_total = 7;
constexpr int trouble_ms = 6'500;
constexpr int jobs = 10;
constexpr int items = 10;
constexpr int submit_interval_ms = 900;
constexpr int events = 100;
constexpr int event_interval_ms = 25;
/// Events that a stream brings before it stalls, and the pause between the bytes after that.
constexpr int events_before_stall = 20;
constexpr int byte_interval_ms = 1'000;
/// finishS, and the time for which items that failed at an engine are excused.
constexpr int finish_ms = 18'000;
constexpr int failed_excuse_ms = 20'000;

/// Brings some events and then a byte now and then, until the caller closes.
void stall(engine& at, connection& peer, const message& request) {
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : at.answer_fields(request)) {
        head += name + ": " + value + "\r\n";
    }
    peer.write(head + "\r\n", now_ms() + 5'000);
    for (int id = 1; id <= events_before_stall; ++id) {
        sleep_ms(event_interval_ms);
        const std::string event = "id: " + std::to_string(id) + "\ndata: " + at.version() + " " +
                                  request.get("attempt-id") + "-" + std::to_string(id) + "\n\n";
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        peer.write(size + event + "\r\n", now_ms() + 5'000);
    }
    at.record().line("work lost, stream stays open: " + request.get("attempt-id") + " at " +
                     at.id());
    at.free_slot();
    // The first byte of a comment, and then the comment itself.
    while (!peer.peer_closed() && peer.write("1\r\n:\r\n", now_ms() + 1'000)) {
        sleep_ms(byte_interval_ms);
    }
    at.retake_slot();
    at.record().line("closed by the caller: " + request.get("attempt-id"));
    peer.close();
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
    std::atomic<bool> in_trouble{false};
    std::atomic<int> requests{0};
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < engines_total; ++i) {
        engines.push_back(std::make_unique<engine>(
            "i-" + std::to_string(1000 + i), i % 2 == 0 ? "zone-a" : "zone-b", 8, record,
            [i, &in_trouble, &requests](engine& at, connection& peer, const message& request) {
                if (i == 0 && in_trouble && requests.fetch_add(1) % 5 < 2) {
                    stall(at, peer, request);
                    return;
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
    for (const auto& each : daemons) {
        each->start(plan.seeds(), true);
    }
    if (!wait_ready(edges[0], 15'000) || !wait_ready(edges[1], 15'000)) {
        std::cerr << "the daemons do not become ready\n";
        return 2;
    }
    sleep_ms(3'000);
    const std::int64_t start = now_ms();
    std::thread trouble_maker([&] {
        in_trouble = trouble;
        record.line(trouble ? "one engine is in trouble" : "no trouble");
        sleep_ms(trouble_ms);
        in_trouble = false;
        record.line("all engines are sound");
    });
    std::vector<std::string> accepted;
    for (int i = 0; i < jobs; ++i) {
        const std::string job = random_id(random);
        if (submit_job(edges, job, job_body(job, items, 1500), record) == 202) {
            accepted.push_back(job);
        }
        sleep_ms(submit_interval_ms);
    }
    trouble_maker.join();
    const std::int64_t traffic_end = now_ms();
    sleep_ms(std::max(traffic_end + finish_ms,
                      start + trouble_ms + failed_excuse_ms + events_before_stall * 25 + 5'000) -
             now_ms());
    int working = 0;
    for (const auto& each : engines) {
        working += each->running();
    }
    record.line("requests that engines work on: " + std::to_string(working));
    int missing = 0;
    for (const std::string& job : accepted) {
        std::set<std::string> listed;
        for (int attempt = 0; attempt < 4 && listed.size() < items; ++attempt) {
            const message answer =
                call_edge(edges[static_cast<std::size_t>(attempt) % 2], "GET",
                          "/eelgrassdoor/lots/" + job + "?after=0", {}, "", 3'000);
            const auto page = nlohmann::json::parse(answer.body, nullptr, false);
            if (answer.status == 200 && page.is_object()) {
                for (const auto& result : page.at("results")) {
                    listed.insert(result.at("id").get<std::string>());
                }
            }
        }
        record.line("job " + job + ": " + std::to_string(listed.size()) + " of " +
                    std::to_string(items) + " items listed");
        for (int i = 0; i < items; ++i) {
            if (!listed.contains(job + "-" + std::to_string(i))) {
                record.line("never listed: " + job + "-" + std::to_string(i));
                ++missing;
            }
        }
    }
    std::cout << "items that are not listed " << (now_ms() - traffic_end) / 1000
              << " s after the traffic: " << missing << " of " << accepted.size() * items
              << "; requests that engines work on: " << working << "\n";
    for (const auto& each : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(missing > 0 && working == 0 ? 1 : 0);
}
