/// \file
/// Kills the edge daemons at once while the last engines of an older software version leave, and
/// looks for streams that hold events of two versions.
///
/// usage: mixed_versions PROGRAM FOLDER RECORD TROUBLE

#include "lib/engine.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr int contact_ms = 3000;
constexpr int streams = 36;
constexpr int events = 59;
constexpr int event_interval_ms = 45;
constexpr int release_gap_ms = 1000;
/// A client tries a stream at most four times within its deadline of 5 s.
constexpr int max_tries = 4;

/// What a client has received of one stream, over all its tries.
struct stream_text {
    std::set<std::string> versions;
    int last_event = 0;
    bool whole = false;
    bool resumed = false;
};

std::mutex texts_mutex;
std::map<std::string, stream_text> texts;

/// Takes the events of one answer out of \p bytes as far as they are whole.
void take_events(const std::string& bytes, std::size_t& used, stream_text& text) {
    for (std::size_t end = bytes.find("\n\n", used); end != std::string::npos;
         end = bytes.find("\n\n", used)) {
        const std::string event = bytes.substr(used, end - used);
        used = end + 2;
        const std::size_t id = event.find("id: ");
        const std::size_t data = event.find("data: ");
        if (id != std::string::npos && data != std::string::npos) {
            text.last_event = std::atoi(event.c_str() + id + 4);
            text.versions.insert(event.substr(data + 6, event.find(' ', data + 6) - data - 6));
        }
    }
}

void run_stream(const std::vector<machine>& edges, int number, recorder& record) {
    std::mt19937_64 random(std::random_device{}());
    stream_text text;
    const std::int64_t deadline = now_ms() + 5'000;
    std::string first_attempt;
    for (int attempt = 0; attempt < max_tries && !text.whole && now_ms() < deadline; ++attempt) {
        const machine& edge = edges[static_cast<std::size_t>(number + attempt) % edges.size()];
        const std::string id = random_id(random);
        const connection_ptr to = dial(edge.front);
        if (!to) {
            sleep_ms(350);
            continue;
        }
        std::vector<std::pair<std::string, std::string>> fields = {
            {"Host", "h.example"},
            {"Attempt-Id", id},
            {"Credential", "key-of-t1"},
            {"Model", "m"},
            {"Token-Counts", "450,354"},
            {"Prompt-Prefix", "5c1e07a2:100,91bd3f06:100,e4402b7d:250"},
            {"Deadline-Ms", std::to_string(deadline - now_ms())}};
        const bool resumes = text.last_event > 0;
        if (resumes) {
            fields.push_back({"Last-Event-Id", std::to_string(text.last_event)});
            fields.push_back({"Resumes", first_attempt});
        }
        record.line(
            "sent " + id + " to " + edge.name +
            (resumes ? " after " + std::to_string(text.last_event) + " of " + first_attempt : ""));
        to->write(encode_request("POST", "/p/" + id, fields, "{\"question\":1}"), deadline);
        std::optional<message> answer = read_head(*to, deadline);
        if (!answer || answer->status != 200) {
            record.line("answered " + id + " " + (answer ? std::to_string(answer->status) : "-"));
            sleep_ms(350);
            continue;
        }
        std::size_t used = 0;
        const int before = text.last_event;
        read_body(*to, *answer, deadline, [&] { take_events(answer->body, used, text); });
        take_events(answer->body, used, text);
        text.resumed = text.resumed || (resumes && text.last_event > before);
        if (before == 0 && text.last_event > 0) {
            first_attempt = id;
        }
        text.whole = answer->complete;
        record.line("received " + id + " events " + std::to_string(before + 1) + " to " +
                    std::to_string(text.last_event) + (text.whole ? ", whole" : ", broken off"));
        sleep_ms(text.whole ? 0 : 350);
    }
    const std::lock_guard lock(texts_mutex);
    texts["stream " + std::to_string(number) + " " + first_attempt] = text;
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
              R"({"version":1,"routes":[{"name":"question","host":"h.example","pathPrefix":"/p/",)"
              R"("kind":"streaming","resumable":true,"gapAimMs":250,"timeoutMs":5000,)"
              R"("targetLatencyMs":300,"priority":0,"service":"s","maxAttempts":2,)"
              R"("public":false}],)"
              R"("services":[{"name":"s","healthPath":"/health","maxConnections":370,)"
              R"("protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":119674}}],)"
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
              R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1,)"
              R"("ratePerS":500,"burst":500}]})");
    std::vector<std::unique_ptr<engine>> engines;
    const auto add_engine = [&](const std::string& zone, const std::string& version) {
        engines.push_back(std::make_unique<engine>(
            "i-" + std::to_string(1000 + engines.size()), zone, 16, record,
            [](engine& at, connection& peer, const message& request) {
                if (!stream_events(at, peer, request, events, event_interval_ms)) {
                    peer.close();
                }
            },
            version));
        engines.back()->register_in(store, "s");
    };
    // Two versions side by side, as they serve in the middle of an update.
    add_engine("zone-a", "v1");
    add_engine("zone-b", "v1");
    add_engine("zone-a", "v2");
    add_engine("zone-b", "v2");
    address_plan plan;
    std::vector<machine> edges;
    std::vector<std::unique_ptr<process>> daemons;
    for (const char* const name : {"edge-a-1", "edge-a-2", "edge-b-1", "edge-b-2"}) {
        const std::string zone = std::string("zone-") + name[5];
        edges.push_back(plan.add(name, zone, "edge", store.listen(name)));
        daemons.push_back(std::make_unique<process>(edges.back(), argv[1], argv[2]));
    }
    for (const auto& each : daemons) {
        each->start(plan.seeds(), true);
    }
    for (const machine& each : edges) {
        if (!wait_ready(each, 15'000)) {
            std::cerr << "the daemons do not become ready\n";
            return 2;
        }
    }
    sleep_ms(contact_ms);
    std::vector<std::thread> clients;
    std::thread traffic([&] {
        for (int i = 0; i < streams; ++i) {
            clients.emplace_back([&, i] { run_stream(edges, i, record); });
            sleep_ms(70);
        }
    });
    sleep_ms(1'000);
    // The release: the other half of the engines is replaced, one at a time. The new one starts
    // first, the old one drains and goes on with what it has.
    for (int i = 0; i < 2; ++i) {
        add_engine(i == 0 ? "zone-a" : "zone-b", "v2");
        sleep_ms(200);
        engines[static_cast<std::size_t>(i)]->register_in(store, "s", "draining");
        record.line("drains: " + engines[static_cast<std::size_t>(i)]->id());
        sleep_ms(i == 0 ? release_gap_ms - 200 : 300);
    }
    if (trouble) {
        record.line("all edge daemons are killed");
        for (const auto& each : daemons) {
            each->end(SIGKILL);
        }
        sleep_ms(300);
        for (const auto& each : daemons) {
            each->start(plan.seeds(), false);
        }
    }
    traffic.join();
    for (std::thread& each : clients) {
        each.join();
    }
    int mixed = 0;
    int resumed = 0;
    int whole = 0;
    for (const auto& [name, text] : texts) {
        mixed += text.versions.size() > 1 ? 1 : 0;
        resumed += text.resumed ? 1 : 0;
        whole += text.whole ? 1 : 0;
        if (text.versions.size() > 1) {
            record.line("two versions in " + name);
        }
    }
    std::cout << "streams with events of two versions: " << mixed << " (allowed: 2), resumed by "
              << "the client: " << resumed << ", whole: " << whole << " of " << streams << "\n";
    for (const auto& each : daemons) {
        each->end(SIGKILL);
    }
    std::cout.flush();
    ::_exit(mixed > 2 ? 1 : 0);
}
