/// \file
/// Simulated platform services: a key-value store with the HTTP API of the etcd v3 JSON gateway,
/// the host list and the model weight store. POST /control sets faults to inject; GET
/// /control/stats returns the number of calls.
#include "stand_in/key_value_store.hpp"
#include "stand_in/stand_in.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

namespace {

using namespace eelgrassdoor::stand_in;
using nlohmann::json;

/// Faults to inject. A POST /control changes only the fields that it contains.
struct platform_faults {
    /// Answers every call with status 503.
    std::atomic<bool> down{false};
    /// Delays calls for as long as it is set, for at most 60 s.
    std::atomic<bool> hang{false};
    std::atomic<int> delay_ms{0};
    /// Number of transactions still to be applied without a complete response.
    std::atomic<int> truncate_responses{0};
    /// Number of job records still to be written whose following reads fail with status 503.
    std::atomic<int> fail_read_after_write{0};
};

/// A client retries a failed read once, so that two failures make the read as a whole fail.
constexpr int failed_reads_per_write = 2;

/// Returns the base64 key of the first put in \p transaction, or an empty string.
std::string written_key(const json& transaction) {
    for (const json& operation : transaction.value("success", json::array())) {
        if (operation.contains("request_put")) {
            return operation["request_put"].value("key", "");
        }
    }
    return {};
}

/// Counts calls by path, and the peak number of calls in one second. Thread-safe.
class call_counter {
public:
    void count(const std::string& path) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                                std::chrono::steady_clock::now().time_since_epoch())
                                .count();
        const std::lock_guard lock(m_mutex);
        ++m_calls_by_path[path];
        if (second != m_current_second) {
            m_current_second = second;
            m_calls_in_second = 0;
        }
        m_peak_per_second = std::max(m_peak_per_second, ++m_calls_in_second);
    }
    json to_json() {
        const std::lock_guard lock(m_mutex);
        return {{"calls", m_calls_by_path}, {"peak_per_second", m_peak_per_second}};
    }
    void reset() {
        const std::lock_guard lock(m_mutex);
        m_calls_by_path.clear();
        m_peak_per_second = 0;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_calls_by_path;
    std::int64_t m_current_second = 0;
    int m_calls_in_second = 0;
    int m_peak_per_second = 0;
};

class platform {
public:
    void add_routes(httplib::Server& server) {
        add_call(server, "/v3/kv/range", [this](const json& in) { return m_store.range(in); });
        add_call(server, "/v3/kv/put", [this](const json& in) { return m_store.put(in); });
        add_call(server, "/v3/kv/txn", [this](const json& in) { return m_store.txn(in); });
        add_call(server, "/v3/lease/grant", [this](const json& in) { return m_store.grant(in); });
        add_call(server, "/v3/lease/revoke", [this](const json& in) { return m_store.revoke(in); });
        add_call(server, "/v3/lease/keepalive",
                 [this](const json& in) { return m_store.keep_alive(in); });
        server.Post("/v3/watch", [this](const httplib::Request& in, httplib::Response& out) {
            m_counter.count("/v3/watch");
            watch(json::parse(in.body), out);
        });
        server.Get("/hosts", [this](const httplib::Request&, httplib::Response& out) {
            if (apply_faults(out)) {
                return;
            }
            const std::lock_guard lock(m_hosts_mutex);
            out.set_content(m_hosts.dump(), "application/json");
        });
        server.Post("/hosts/set", [this](const httplib::Request& in, httplib::Response&) {
            const std::lock_guard lock(m_hosts_mutex);
            m_hosts = {{"version", m_hosts["version"].get<int>() + 1},
                       {"hosts", json::parse(in.body)}};
        });
        server.Get(R"(/weights/([^/]+))", [](const httplib::Request&, httplib::Response& out) {
            out.set_content(std::string(1 << 16, 'w'), "application/octet-stream");
        });
        server.Post("/control", [this](const httplib::Request& in, httplib::Response&) {
            set_faults(json::parse(in.body));
        });
        server.Get("/control/stats", [this](const httplib::Request&, httplib::Response& out) {
            out.set_content(m_counter.to_json().dump(), "application/json");
        });
    }

private:
    void set_faults(const json& in) {
        m_faults.down = in.value("down", m_faults.down.load());
        m_faults.hang = in.value("hang", m_faults.hang.load());
        m_faults.delay_ms = in.value("delay_ms", m_faults.delay_ms.load());
        m_faults.truncate_responses =
            in.value("truncate_responses", m_faults.truncate_responses.load());
        m_faults.fail_read_after_write =
            in.value("fail_read_after_write", m_faults.fail_read_after_write.load());
        if (in.value("reset_stats", false)) {
            m_counter.reset();
        }
    }

    /// Makes the next reads of \p key fail when it is a job record and that fault is set.
    void schedule_read_failures(const std::string& key) {
        std::string name;
        const bool is_job_key =
            absl::Base64Unescape(key, &name) && absl::StrContains(name, "/jobs/");
        const std::lock_guard lock(m_read_failures_mutex);
        if (is_job_key && m_faults.fail_read_after_write > 0) {
            --m_faults.fail_read_after_write;
            m_read_failures_left[key] = failed_reads_per_write;
        }
    }
    /// Returns whether a read of \p key has to fail, and uses up one of its failures.
    bool consume_read_failure(const std::string& key) {
        const std::lock_guard lock(m_read_failures_mutex);
        const auto found = m_read_failures_left.find(key);
        if (found == m_read_failures_left.end() || found->second == 0) {
            return false;
        }
        --found->second;
        return true;
    }

    /// Applies the delay and failure faults. Returns true when the call failed and \p out is final.
    bool apply_faults(httplib::Response& out) {
        if (m_faults.delay_ms > 0) {
            wait_ms(m_faults.delay_ms);
        }
        for (int i = 0; m_faults.hang && i < 600; ++i) {
            wait_ms(100);
        }
        if (m_faults.down) {
            out.status = 503;
            return true;
        }
        return false;
    }

    /// Registers a JSON call of the key-value API that applies faults and counts itself.
    void add_call(httplib::Server& server, const std::string& path,
                  std::function<json(const json&)> run) {
        server.Post(path, [this, path, run = std::move(run)](const httplib::Request& in,
                                                             httplib::Response& out) {
            m_counter.count(path);
            if (apply_faults(out)) {
                return;
            }
            const json request = json::parse(in.body);
            if (path == "/v3/kv/range" && consume_read_failure(request.value("key", ""))) {
                out.status = 503;
                return;
            }
            const json answer = run(request);
            if (path == "/v3/kv/txn" && answer.value("succeeded", false)) {
                schedule_read_failures(written_key(request));
            }
            if (path == "/v3/kv/txn" && m_faults.truncate_responses > 0) {
                --m_faults.truncate_responses;
                truncate_response(out);
                return;
            }
            out.set_content(answer.dump(), "application/json");
        });
    }

    /// Streams the changes of a key range as newline-delimited JSON, polling the store every 50 ms.
    void watch(const json& in, httplib::Response& out) {
        const json request = in.at("create_request");
        const auto next_revision = std::make_shared<std::int64_t>(m_store.revision() + 1);
        out.set_chunked_content_provider(
            "application/json",
            [this, request, next_revision](std::size_t, httplib::DataSink& sink) {
                const json events = m_store.changes_since(request, *next_revision);
                *next_revision = m_store.revision() + 1;
                if (!events.empty()) {
                    const std::string line = json{{"result", {{"events", events}}}}.dump() + "\n";
                    return sink.write(line.data(), line.size());
                }
                wait_ms(50);
                return sink.is_writable();
            });
    }

    key_value_store m_store;
    platform_faults m_faults;
    call_counter m_counter;
    std::mutex m_read_failures_mutex;
    std::map<std::string, int> m_read_failures_left;
    std::mutex m_hosts_mutex;
    json m_hosts = {{"version", 0}, {"hosts", json::array()}};
};

} // namespace

int main(int argc, char** argv) {
    const arguments args(argc, argv);
    httplib::Server server;
    platform p;
    p.add_routes(server);
    return serve_until_signal(server, args);
}
