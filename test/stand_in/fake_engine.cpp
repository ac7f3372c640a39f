/// \file
/// Simulated inference engine: completions as JSON and as server-sent events, continuous batching,
/// a bounded prefix cache and a delayed load report. POST /control sets faults to inject; GET
/// /control/record returns the requests that ran.
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

/// Tokens generated for a request without `max_tokens`.
constexpr int default_tokens = 8;
constexpr int disconnect_poll_ms = 10;

/// Faults to inject. Each POST /control replaces them all; a field left out is reset.
struct engine_faults {
    /// Closes the connection after this many tokens; -1 to disable.
    std::atomic<int> disconnect_after_tokens{-1};
    /// Keeps requests waiting, without any output, while set.
    std::atomic<bool> hang{false};
    /// Number of responses still to be sent with the id of another request.
    std::atomic<int> wrong_id_responses{0};
    /// Rejects every request with status 503.
    std::atomic<bool> reject_requests{false};
    /// Time added to the prefill of each request.
    std::atomic<int> delay_ms{0};
};

/// A parsed completion request.
struct generation_request {
    std::string id;
    std::string prompt;
    int tokens = default_tokens;
    bool stream = false;
};

generation_request parse_request(const httplib::Request& in) {
    const json body = json::parse(in.body);
    generation_request out;
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
                                 {"requests_with_key", m_requests_with_key},
                                 {"cache_hits", m_model.cache_hits()}}
                                .dump(),
                            "application/json");
        });
    }

private:
    void set_faults(const json& in) {
        m_faults.disconnect_after_tokens = in.value("disconnect_after_tokens", -1);
        m_faults.hang = in.value("hang", false);
        m_faults.wrong_id_responses = in.value("wrong_id_responses", 0);
        m_faults.reject_requests = in.value("reject_requests", false);
        m_faults.delay_ms = in.value("delay_ms", 0);
    }

    /// Counts requests that contain a customer's API key, which the daemons must not forward.
    void count_key_leaks(const httplib::Request& in) {
        bool contains_key = contains(in.target, "egd_") || contains(in.body, "egd_");
        for (const auto& [name, value] : in.headers) {
            contains_key = contains_key || contains(value, "egd_");
        }
        const std::lock_guard lock(m_mutex);
        m_requests_with_key += contains_key ? 1 : 0;
    }

    /// Adds a finished or cancelled request to the record that GET /control/record returns.
    void record_run(const generation_request& run, const std::string& ended, int tokens) {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({{"id", run.id},
                          {"prompt", run.prompt.substr(0, 200)},
                          {"ended", ended},
                          {"tokens", tokens}});
    }

    /// Handles a completion request. A prompt that contains ALWAYS-REFUSED is rejected with status
    /// 400.
    void complete(const httplib::Request& in, httplib::Response& out) {
        merge_stamp(*m_events, in);
        count_key_leaks(in);
        generation_request run = parse_request(in);
        out.set_header("X-Request-Id", run.id);
        if (m_faults.reject_requests || contains(run.prompt, "ALWAYS-REFUSED")) {
            out.status = m_faults.reject_requests ? 503 : 400;
            out.set_content(R"({"error":{"message":"refused"}})", "application/json");
            return;
        }
        m_events->emit(observe::event::engine_ran, run.id.substr(0, run.id.rfind('-')));
        out.set_chunked_content_provider(
            run.stream ? "text/event-stream" : "application/json",
            [this, run](std::size_t, httplib::DataSink& sink) { return generate(run, sink); });
    }

    /// Waits for \p time. Returns false as soon as the client has disconnected.
    bool sleep_while_connected(std::chrono::milliseconds time, httplib::DataSink& sink) {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            if (!sink.is_writable()) {
                return false;
            }
            const auto left = until - std::chrono::steady_clock::now();
            const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
            wait_ms(std::min(static_cast<int>(left_ms), disconnect_poll_ms));
        }
        return true;
    }

    /// Waits for a slot, writes the response and records the run. Returns false when the response
    /// was cut off, by a fault or because the client disconnected.
    bool generate(const generation_request& run, httplib::DataSink& sink) {
        while (m_faults.hang) {
            if (!sleep_while_connected(std::chrono::milliseconds(50), sink)) {
                record_run(run, "cancelled", 0);
                return false;
            }
        }
        if (!m_model.acquire_slot([&sink] { return !sink.is_writable(); })) {
            record_run(run, "cancelled", 0);
            return false;
        }
        int tokens = 0;
        const bool finished = write_tokens(run, sink, tokens);
        m_model.release_slot();
        record_run(run, finished ? "finished" : "cancelled", tokens);
        if (finished) {
            sink.done();
        }
        return finished;
    }

    /// Writes the response of a request that holds a slot; \p tokens counts the tokens generated. A
    /// prompt that contains ALWAYS-CRASHES breaks the connection after one token.
    bool write_tokens(const generation_request& run, httplib::DataSink& sink, int& tokens) {
        std::string id = "cmpl-" + run.id;
        if (m_faults.wrong_id_responses > 0) {
            --m_faults.wrong_id_responses;
            id = "cmpl-of-another-request";
        }
        const std::chrono::milliseconds delay(m_faults.delay_ms);
        if (!sleep_while_connected(m_model.prefill_time(run.prompt) + delay, sink)) {
            return false;
        }
        std::string text;
        const bool crashes = contains(run.prompt, "ALWAYS-CRASHES");
        const int disconnect_after = crashes ? 1 : m_faults.disconnect_after_tokens.load();
        for (; tokens < run.tokens; ++tokens) {
            if (disconnect_after >= 0 && tokens >= disconnect_after) {
                return false;
            }
            const std::string token = str_cat("t", tokens, " ");
            text += token;
            if (run.stream && !write_event(id, token, sink)) {
                return false;
            }
            if (!sleep_while_connected(std::chrono::milliseconds(m_model.options().token_ms),
                                       sink)) {
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
    int m_requests_with_key = 0;
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
    engine e(options, make_event_recorder(args, args.text("name", "engine")));
    e.add_routes(server);
    return serve_until_signal(server, args);
}
