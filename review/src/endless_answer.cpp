/// \file
/// Plays engines of which half spoil one answer in fifty by bytes without end, and counts the
/// requests that the edge daemons lose when they pass their memory limit.
///
/// usage: endless_answer PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int contact_ms = 3000;
constexpr int traffic_s = 45;
constexpr int clients_per_edge = 20;
/// Work of an engine on one request.
constexpr int work_ms = 800;
/// Of the answers of a bad engine, one in this many has no end (the pages: x = .02).
constexpr int spoiled_one_in = 50;
/// What a bad engine sends: 60 MB/s, half of an edge machine's link of 1,000 Mbit/s.
constexpr std::size_t junk_bytes = 600'000;
constexpr int junk_interval_ms = 10;

struct outcome {
    std::string edge;
    bool on_kept_connection = false;
    bool edge_in_touch = false;
    bool any_byte = false;
    bool at_sound_engine = false;
};

std::mutex results_mutex;
std::map<std::string, outcome> results;
std::set<std::string> run_at_sound_engine;

/// An answer whose body is chunked and then goes on with bytes that are no chunk.
void send_without_end(engine& at, connection& peer, const message& request) {
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : at.answer_fields(request)) {
        head += name + ": " + value + "\r\n";
    }
    peer.write(head + "\r\n", now_ms() + 5'000);
    const std::string junk(junk_bytes, '0');
    std::size_t sent = 0;
    const std::int64_t start = now_ms();
    while (peer.write(junk, now_ms() + 5'000)) {
        sent += junk.size();
        const std::int64_t due =
            start + static_cast<std::int64_t>(sent / junk_bytes) * junk_interval_ms;
        sleep_ms(std::max<std::int64_t>(0, due - now_ms()));
    }
    at.record().line("spoiled " + request.get("attempt-id") + " at " + at.id() + ", " +
                     std::to_string(sent / 1'000'000) + " MB in " +
                     std::to_string(now_ms() - start) + " ms until the caller closed");
}

void serve(engine& at, connection& peer, const message& request, bool spoils) {
    if (!spoils) {
        const std::lock_guard lock(results_mutex);
        run_at_sound_engine.insert(request.get("attempt-id"));
    }
    const std::int64_t end = now_ms() + work_ms;
    while (now_ms() < end) {
        sleep_ms(5);
        if (peer.peer_closed()) {
            at.record().line("dropped " + request.get("attempt-id") + " at " + at.id());
            return;
        }
    }
    if (spoils) {
        send_without_end(at, peer, request);
        peer.close();
        return;
    }
    peer.write(encode_response(200, std::string(600, 'a'), at.answer_fields(request)),
               now_ms() + 5'000);
}

/// Sends requests over a connection that it keeps, and opens another when that has ended.
void run_client(const machine& edge, const std::atomic<std::int64_t>& started_at, int number,
                recorder& record, const std::atomic<bool>& stopped) {
    std::mt19937_64 random(static_cast<std::uint64_t>(number) * 7919 + 1);
    connection_ptr to;
    int sent_on_it = 0;
    sleep_ms(static_cast<std::int64_t>(random() % 1000));
    while (!stopped) {
        if (!to) {
            to = dial(edge.front);
            sent_on_it = 0;
            if (!to) {
                sleep_ms(300);
                continue;
            }
        }
        const std::string id = random_id(random);
        const std::int64_t deadline = now_ms() + 5'000;
        outcome out{.edge = edge.name,
                    .on_kept_connection = sent_on_it > 0,
                    .edge_in_touch = now_ms() - started_at >= contact_ms};
        record.line("sent " + id + " to " + edge.name);
        const bool written = to->write(encode_request("POST", "/o/" + id,
                                                      {{"Host", "h.example"},
                                                       {"Attempt-Id", id},
                                                       {"Credential", "key-of-t1"},
                                                       {"Deadline-Ms", "5000"}},
                                                      "{\"question\":1}"),
                                       deadline);
        std::optional<message> answer = written ? read_head(*to, deadline + 500) : std::nullopt;
        out.any_byte = answer.has_value() || !to->input.empty();
        if (answer) {
            read_body(*to, *answer, deadline + 500);
        }
        const bool timed_out = !answer && now_ms() >= deadline + 500;
        ++sent_on_it;
        if (answer) {
            record.line("answered " + id + " " + std::to_string(answer->status));
        } else {
            record.line((timed_out ? "unanswered " : "closed ") + id + " by " + edge.name);
            const std::lock_guard lock(results_mutex);
            out.at_sound_engine = run_at_sound_engine.contains(id);
            if (!timed_out) {
                results[id] = out;
            }
        }
        if (!answer || !answer->complete || lower(answer->get("connection")) == "close") {
            to.reset();
        }
        sleep_ms(static_cast<std::int64_t>(200 + random() % 600));
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    recorder record(argv[3]);
    platform_store store;
    store.put("op/config",
              R"({"version":1,"routes":[{"name":"question","host":"h.example","pathPrefix":"/o/",)"
              R"("kind":"unsafe","timeoutMs":5000,"targetLatencyMs":1500,"priority":0,)"
              R"("service":"s","maxAttempts":1,"public":false}],)"
              R"("services":[{"name":"s","healthPath":"/health","maxConnections":370,)"
              R"("protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":119674}}],)"
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
              R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1,)"
              R"("ratePerS":500,"burst":500}]})");
    std::vector<std::unique_ptr<engine>> engines;
    std::atomic<bool> spoiling{false};
    for (int i = 0; i < 4; ++i) {
        const bool bad = i % 2 == 1;
        const auto answers = std::make_shared<std::atomic<int>>(0);
        engines.push_back(std::make_unique<engine>(
            "i-" + std::to_string(1000 + i), i < 2 ? "zone-a" : "zone-b", 16, record,
            [bad, answers, &spoiling](engine& at, connection& peer, const message& request) {
                const bool spoils =
                    bad && spoiling && answers->fetch_add(1) % spoiled_one_in == spoiled_one_in / 2;
                serve(at, peer, request, spoils);
            }));
        engines.back()->register_in(store, "s");
    }
    address_plan plan;
    std::vector<machine> machines;
    machines.push_back(plan.add("edge-a-1", "zone-a", "edge", store.listen("edge-a-1")));
    machines.push_back(plan.add("edge-b-1", "zone-b", "edge", store.listen("edge-b-1")));
    machines.push_back(plan.add("storage-a-1", "zone-a", "storage", store.listen("storage-a-1")));
    std::vector<std::unique_ptr<process>> daemons;
    std::vector<std::unique_ptr<std::atomic<std::int64_t>>> started_at;
    for (const machine& each : machines) {
        daemons.push_back(std::make_unique<process>(each, argv[1], argv[2]));
        daemons.back()->start(plan.seeds(), true);
        started_at.push_back(std::make_unique<std::atomic<std::int64_t>>(now_ms()));
    }
    if (!wait_ready(machines[0], 15'000) || !wait_ready(machines[1], 15'000)) {
        std::cerr << "the daemons do not become ready\n";
        return 2;
    }
    sleep_ms(contact_ms);
    std::atomic<bool> stopped{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * clients_per_edge; ++i) {
        clients.emplace_back(
            [&, i] { run_client(machines[i % 2], *started_at[i % 2], i, record, stopped); });
    }
    int killed = 0;
    std::map<std::string, double> peak;
    const std::int64_t end = now_ms() + traffic_s * 1000;
    const std::int64_t trouble_at = now_ms() + 4000;
    std::int64_t next_sample = now_ms();
    while (now_ms() < end) {
        spoiling = trouble && now_ms() >= trouble_at;
        const bool sample = now_ms() >= next_sample;
        next_sample += sample ? 1000 : 0;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            process& each = *daemons[i];
            const double used = each.memory_mb();
            double& most = peak[each.own().name];
            most = std::max(most, used);
            if (sample) {
                record.line("memory " + each.own().name + " " + std::to_string(used) + " MB");
            }
            const bool over_limit = used > each.own().memory_mb * 1.048576;
            if (!over_limit && !each.has_ended()) {
                continue;
            }
            record.line(
                (over_limit ? "killed by the platform for its memory: " : "ended by itself: ") +
                each.own().name + " at " + std::to_string(used) + " MB");
            ++killed;
            each.end(SIGKILL);
            sleep_ms(500);
            each.start(plan.seeds(), false);
            *started_at[i] = now_ms();
        }
        sleep_ms(3);
    }
    stopped = true;
    for (std::thread& each : clients) {
        each.join();
    }
    std::map<std::string, int> lost;
    for (const auto& [id, each] : results) {
        if (each.on_kept_connection && each.edge_in_touch && each.at_sound_engine &&
            !each.any_byte) {
            ++lost[each.edge];
        }
    }
    int most = 0;
    int total = 0;
    for (const auto& [edge, count] : lost) {
        record.line("lost at " + edge + ": " + std::to_string(count));
        most = std::max(most, count);
        total += count;
    }
    std::cout << "ends of daemons: " << killed << ", lost requests: " << total
              << ", most at one machine: " << most << " (allowed: 3)";
    for (const auto& [name, mb] : peak) {
        std::cout << ", peak memory of " << name << ": " << static_cast<int>(mb) << " MB";
    }
    std::cout << "\n";
    for (const auto& each : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(most > 3 ? 1 : 0);
}
