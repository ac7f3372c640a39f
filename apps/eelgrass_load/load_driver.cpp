#include "load_driver.hpp"

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"
#include "base/worker_pool.hpp"
#include "http/client_pool.hpp"

#include <absl/time/clock.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <string_view>

namespace eelgrassdoor::load {

namespace {

using nlohmann::json;

/// Maximum number of requests in flight.
constexpr std::size_t max_concurrent_requests = 3000;
constexpr duration response_timeout = seconds(60);
/// Start of each streamed event that carries a token.
constexpr std::string_view token_event_prefix = "data: {";
/// Last event of a complete stream.
constexpr std::string_view done_event = "data: [DONE]";

/// A planned request.
struct arrival {
    double due_s = 0;
    std::size_t customer_index = 0;
    std::size_t host_index = 0;
    int prompt_group = 0;
};

/// Returns the arrivals of all customers, in order of due time. The groups of each customer arrive
/// as a Poisson process.
std::vector<arrival> plan_arrivals(const load_options& options) {
    std::vector<arrival> out;
    for (std::size_t c = 0; c < options.customers.size(); ++c) {
        random_source random(options.seed * 1000 + c);
        const double mean_gap_s = options.burst_size / options.customers[c].offered_per_second;
        for (double t = random.exponential(mean_gap_s); t < options.duration_s;
             t += random.exponential(mean_gap_s)) {
            for (int i = 0; i < options.burst_size; ++i) {
                const std::size_t host_index =
                    options.one_sided ? 0 : random.below(options.hosts.size());
                const auto group_count = static_cast<std::uint64_t>(options.prompt_groups);
                out.push_back({t, c, host_index, static_cast<int>(random.below(group_count))});
            }
        }
    }
    std::ranges::stable_sort(out, {}, &arrival::due_s);
    return out;
}

/// Sends requests and batch jobs. Thread-safe.
class sender {
public:
    explicit sender(const load_options& options)
        : m_options(options), m_start(std::chrono::steady_clock::now()) {
        for (const std::string& host : options.hosts) {
            m_pools.push_back(std::make_unique<http::client_pool>(
                host, http::client_options{.read_timeout = response_timeout}, steady_clock()));
        }
    }

    /// Returns the time since construction.
    double now_s() const { return to_seconds(std::chrono::steady_clock::now() - m_start); }

    /// Sends one request, waits for the end of its response and fills in \p r.
    void send(const arrival& a, load_record& r) {
        r.customer_index = a.customer_index;
        r.due_s = a.due_s;
        http::client_pool::lease client = m_pools[a.host_index]->acquire();
        httplib::Request request = make_request(a);
        int tokens = 0;
        std::string tail;
        request.response_handler = [&r](const httplib::Response& response) {
            r.status = response.status;
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
            const double at = now_s();
            r.first_s = r.first_s == 0 ? at : r.first_s;
            r.end_s = at;
            tail.append(data, size);
            for (std::size_t i = tail.find(token_event_prefix); i != std::string::npos;
                 i = tail.find(token_event_prefix, i + 1)) {
                ++tokens;
            }
            r.whole = r.whole || contains(tail, done_event) || !m_options.service.empty();
            const std::size_t kept_bytes =
                std::min<std::size_t>(tail.size(), token_event_prefix.size() - 1);
            tail.erase(0, tail.size() - std::max(kept_bytes, std::size_t{0}));
            return true;
        };
        r.sent_s = now_s();
        const httplib::Result result = client->send(request);
        if (result) {
            client.return_to_pool();
        } else {
            r.whole = false;
        }
        if (tokens > 1) {
            r.between_s = (r.end_s - r.first_s) / (tokens - 1);
        }
    }

    /// Submits a job; returns its id, or an empty string when that fails.
    std::string submit(const load_batch& b) {
        std::string lines;
        for (int i = 0; i < b.items; ++i) {
            lines += json{{"custom_id", str_cat("item-", i)},
                          {"url", "/v1/completions"},
                          {"body",
                           {{"model", m_options.model},
                            {"prompt", str_cat("batch item ", i % 8)},
                            {"max_tokens", b.max_tokens}}}}
                         .dump() +
                     "\n";
        }
        http::client_pool::lease client = m_pools[0]->acquire();
        const httplib::Headers headers{{"Authorization", "Bearer " + b.key}};
        const httplib::Result response =
            client->Post("/v1/batches", headers, lines, "application/jsonl");
        const json body = response ? json::parse(response->body, nullptr, false) : json();
        return body.is_object() ? body.value("id", "") : std::string();
    }

    /// Returns the number of completed items of a job, 0 when it cannot be read.
    int count_completed_items(const load_batch& b, const std::string& job) {
        http::client_pool::lease client = m_pools[0]->acquire();
        const httplib::Headers headers{{"Authorization", "Bearer " + b.key}};
        const httplib::Result response = client->Get("/v1/batches/" + job, headers);
        const json body = response ? json::parse(response->body, nullptr, false) : json();
        return body.is_object() && body.contains("request_counts")
                   ? body["request_counts"].value("completed", 0)
                   : 0;
    }

private:
    httplib::Request make_request(const arrival& a) const {
        httplib::Request request;
        request.method = "POST";
        request.set_header("Authorization", "Bearer " + m_options.customers[a.customer_index].key);
        request.set_header("Content-Type", "application/json");
        if (!m_options.service.empty()) {
            request.path = "/r/" + m_options.service + "/load";
            request.body = "{}";
            return request;
        }
        // The common prefix is longer than the part of the prompt that prefix caching considers.
        const std::string start(300, static_cast<char>('a' + a.prompt_group % 26));
        request.path = "/v1/completions";
        request.body = json{
            {"model", m_options.model},
            {"prompt", str_cat(a.prompt_group, " ", start, a.due_s)},
            {"max_tokens", m_options.max_tokens},
            {"stream",
             true}}.dump();
        return request;
    }

    const load_options& m_options;
    const time_point m_start;
    std::vector<std::unique_ptr<http::client_pool>> m_pools;
};

} // namespace

load_result run_load(const load_options& options) {
    const std::vector<arrival> arrivals = plan_arrivals(options);
    load_result out;
    out.records.resize(arrivals.size());
    sender s(options);
    for (const load_batch& b : options.batches) {
        out.batches.push_back({s.submit(b), 0, 0});
    }
    const double batch_start_s = s.now_s();
    worker_pool workers(max_concurrent_requests);
    const double arrivals_start_s = s.now_s();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        arrival a = arrivals[i];
        a.due_s += arrivals_start_s;
        absl::SleepFor(absl::Seconds(std::max(0.0, a.due_s - s.now_s())));
        load_record& record = out.records[i];
        workers.submit([&s, a, &record] { s.send(a, record); }, arrivals.size());
    }
    absl::SleepFor(absl::Seconds(std::max(0.0, arrivals_start_s + options.duration_s - s.now_s())));
    for (std::size_t i = 0; i < options.batches.size(); ++i) {
        out.batches[i].completed_items =
            s.count_completed_items(options.batches[i], out.batches[i].job);
        out.batches[i].elapsed_s = s.now_s() - batch_start_s;
    }
    workers.stop();
    for (load_record& r : out.records) {
        r.due_s -= arrivals_start_s;
        r.sent_s -= arrivals_start_s;
        r.first_s -= r.first_s > 0 ? arrivals_start_s : 0;
        r.end_s -= r.end_s > 0 ? arrivals_start_s : 0;
    }
    return out;
}

} // namespace eelgrassdoor::load
