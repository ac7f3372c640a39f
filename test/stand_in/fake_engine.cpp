/// \file
/// Stand-in of a model engine: completions whole and as server-sent events, continuous batching,
/// a bounded prefix cache and a lagging load report. Faults are set by POST /control.
#include "base/text.hpp"
#include "stand_in/engine_model.hpp"
#include "stand_in/stand_in.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::stand_in;
using nlohmann::json;

constexpr int default_tokens = 8;
constexpr int gone_check_ms = 10;

/// The faults in force.
struct engine_faults {
    std::atomic<int> break_after_tokens{-1};
    std::atomic<bool> hang{false};
    std::atomic<int> cross_answers{0};
    std::atomic<bool> refuse{false};
    std::atomic<int> slow_ms{0};
};

/// One request in the engine.
struct run_request {
    std::string id;
    std::string prompt;
    int tokens = default_tokens;
    bool stream = false;
};

run_request parse_request(const httplib::Request& in) {
    const json body = json::parse(in.body);
    run_request out;
    out.id = in.get_header_value("X-Request-Id");
    out.stream = body.value("stream", false);
    out.tokens = body.value("max_tokens", default_tokens);
    if (body.contains("prompt")) {
        out.prompt = body["prompt"].get<std::string>();
    }
    for (const json& message : body.value("messages", json::array())) {
        out.prompt += message.value("content", "") + "\n";
    }
    return out;
}

class engine {
public:
    engine(engine_options options, std::unique_ptr<observe::event_recorder> events)
        : m_model(options), m_events(std::move(events)) {}

    void add_routes(httplib::Server& server) {
        const auto serve = [this](const httplib::Request& in, httplib::Response& out) {
            complete(in, out);
        };
        server.Post("/v1/completions", serve);
        server.Post("/v1/chat/completions", serve);
        server.Get("/load", [this](const httplib::Request&, httplib::Response& out) {
            const engine_load load = m_model.reported_load();
            out.set_content(json{{"running", load.running},
                                 {"waiting", load.waiting},
                                 {"slots", m_model.options().slots},
                                 {"lag_ms", m_model.options().lag_ms}}
                                .dump(),
                            "application/json");
        });
        server.Post("/control", [this](const httplib::Request& in, httplib::Response&) {
            set_faults(json::parse(in.body));
        });
        server.Get("/control/record", [this](const httplib::Request&, httplib::Response& out) {
            const std::lock_guard lock(m_mutex);
            out.set_content(json{{"runs", m_runs},
                                 {"key_seen", m_key_seen},
                                 {"cache_hits", m_model.cache_hits()}}
                                .dump(),
                            "application/json");
        });
    }

private:
    void set_faults(const json& in) {
        m_faults.break_after_tokens = in.value("break_after_tokens", -1);
        m_faults.hang = in.value("hang", false);
        m_faults.cross_answers = in.value("cross_answers", 0);
        m_faults.refuse = in.value("refuse", false);
        m_faults.slow_ms = in.value("slow_ms", 0);
    }

    void note_headers(const httplib::Request& in) {
        bool seen = contains(in.target, "egd_") || contains(in.body, "egd_");
        for (const auto& [name, value] : in.headers) {
            seen = seen || contains(value, "egd_");
        }
        const std::lock_guard lock(m_mutex);
        m_key_seen += seen ? 1 : 0;
    }

    void record(const run_request& run, const std::string& ended, int tokens) {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({{"id", run.id},
                          {"prompt", run.prompt.substr(0, 200)},
                          {"ended", ended},
                          {"tokens", tokens}});
    }

    void complete(const httplib::Request& in, httplib::Response& out) {
        merge_stamp(*m_events, in);
        note_headers(in);
        run_request run = parse_request(in);
        out.set_header("X-Request-Id", run.id);
        if (m_faults.refuse || contains(run.prompt, "ALWAYS-REFUSED")) {
            out.status = m_faults.refuse ? 503 : 400;
            out.set_content(R"({"error":{"message":"refused"}})", "application/json");
            return;
        }
        m_events->emit(observe::event::engine_ran, run.id.substr(0, run.id.rfind('-')));
        out.set_chunked_content_provider(
            run.stream ? "text/event-stream" : "application/json",
            [this, run](std::size_t, httplib::DataSink& sink) { return generate(run, sink); });
    }

    /// Sleeps in small steps; returns false as soon as the caller is gone.
    bool spend(std::chrono::milliseconds time, httplib::DataSink& sink) {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            if (!sink.is_writable()) {
                return false;
            }
            const auto left = until - std::chrono::steady_clock::now();
            const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
            spend_ms(std::min(static_cast<int>(left_ms), gone_check_ms));
        }
        return true;
    }

    bool generate(const run_request& run, httplib::DataSink& sink) {
        while (m_faults.hang) {
            if (!spend(std::chrono::milliseconds(50), sink)) {
                record(run, "cancelled", 0);
                return false;
            }
        }
        if (!m_model.enter([&sink] { return !sink.is_writable(); })) {
            record(run, "cancelled", 0);
            return false;
        }
        int tokens = 0;
        const bool finished = produce(run, sink, tokens);
        m_model.leave();
        record(run, finished ? "finished" : "cancelled", tokens);
        if (finished) {
            sink.done();
        }
        return finished;
    }

    bool produce(const run_request& run, httplib::DataSink& sink, int& tokens) {
        std::string id = "cmpl-" + run.id;
        if (m_faults.cross_answers > 0) {
            --m_faults.cross_answers;
            id = "cmpl-of-another-request";
        }
        const std::chrono::milliseconds slow(m_faults.slow_ms);
        if (!spend(m_model.prefill_time(run.prompt) + slow, sink)) {
            return false;
        }
        std::string text;
        const bool crashes = contains(run.prompt, "ALWAYS-CRASHES");
        const int break_after = crashes ? 1 : m_faults.break_after_tokens.load();
        for (; tokens < run.tokens; ++tokens) {
            if (break_after >= 0 && tokens >= break_after) {
                return false;
            }
            const std::string token = str_cat("t", tokens, " ");
            text += token;
            if (run.stream && !write_event(id, token, sink)) {
                return false;
            }
            if (!spend(std::chrono::milliseconds(m_model.options().token_ms), sink)) {
                return false;
            }
        }
        const std::string end = run.stream ? std::string("data: [DONE]\n\n")
                                           : json{{"id", id},
                                                  {"object", "text_completion"},
                                                  {"choices", {{{"index", 0}, {"text", text}}}},
                                                  {"usage", {{"completion_tokens", run.tokens}}}}
                                                 .dump();
        return sink.write(end.data(), end.size());
    }

    static bool write_event(const std::string& id, const std::string& token,
                            httplib::DataSink& sink) {
        const std::string event =
            "data: " + json{{"id", id}, {"choices", {{{"index", 0}, {"text", token}}}}}.dump() +
            "\n\n";
        return sink.write(event.data(), event.size());
    }

    engine_model m_model;
    std::unique_ptr<observe::event_recorder> m_events;
    engine_faults m_faults;
    std::mutex m_mutex;
    json m_runs = json::array();
    int m_key_seen = 0;
};

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    engine_options options;
    options.slots = args.number("slots", options.slots);
    options.token_ms = args.number("token-ms", options.token_ms);
    options.prefill_ms = args.number("prefill-ms", options.prefill_ms);
    options.cached_prefill_ms = args.number("cached-prefill-ms", options.cached_prefill_ms);
    options.cache_entries = static_cast<std::size_t>(
        args.number("cache-entries", static_cast<int>(options.cache_entries)));
    options.lag_ms = args.number("lag-ms", options.lag_ms);
    httplib::Server server;
    engine e(options, make_observer(args, args.text("name", "engine")));
    e.add_routes(server);
    return serve_until_signal(server, args);
}
