/// \file
/// Stand-in of the platform: a key-value service by the etcd v3 JSON gateway's calls, the host
/// list and the weight store. It counts its calls and injects faults by POST /control.
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

/// The faults in force.
struct platform_faults {
    std::atomic<bool> down{false};
    std::atomic<bool> hang{false};
    std::atomic<int> slow_ms{0};
    /// Writes whose answer is lost after they took effect.
    std::atomic<int> lose_answers{0};
    /// Writes of jobs after which the next reads of the same key are refused.
    std::atomic<int> refuse_read_back{0};
};

/// A client repeats a refused read once.
constexpr int refused_reads = 2;

std::string written_key(const json& transaction) {
    for (const json& operation : transaction.value("success", json::array())) {
        if (operation.contains("request_put")) {
            return operation["request_put"].value("key", "");
        }
    }
    return {};
}

/// Counts calls, and the most in one second.
class call_counter {
public:
    void count(const std::string& path) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                                std::chrono::steady_clock::now().time_since_epoch())
                                .count();
        const std::lock_guard lock(m_mutex);
        ++m_by_path[path];
        if (second != m_second) {
            m_second = second;
            m_in_second = 0;
        }
        m_peak = std::max(m_peak, ++m_in_second);
    }
    json to_json() {
        const std::lock_guard lock(m_mutex);
        return {{"calls", m_by_path}, {"peak_per_second", m_peak}};
    }
    void reset() {
        const std::lock_guard lock(m_mutex);
        m_by_path.clear();
        m_peak = 0;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_by_path;
    std::int64_t m_second = 0;
    int m_in_second = 0;
    int m_peak = 0;
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
            if (fails(out)) {
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
        m_faults.slow_ms = in.value("slow_ms", m_faults.slow_ms.load());
        m_faults.lose_answers = in.value("lose_answers", m_faults.lose_answers.load());
        m_faults.refuse_read_back = in.value("refuse_read_back", m_faults.refuse_read_back.load());
        if (in.value("reset_stats", false)) {
            m_counter.reset();
        }
    }

    void note_write(const std::string& key) {
        std::string name;
        const bool of_job = absl::Base64Unescape(key, &name) && absl::StrContains(name, "/jobs/");
        const std::lock_guard lock(m_reads_mutex);
        if (of_job && m_faults.refuse_read_back > 0) {
            --m_faults.refuse_read_back;
            m_reads_to_refuse[key] = refused_reads;
        }
    }
    bool refuses_read(const std::string& key) {
        const std::lock_guard lock(m_reads_mutex);
        const auto found = m_reads_to_refuse.find(key);
        if (found == m_reads_to_refuse.end() || found->second == 0) {
            return false;
        }
        --found->second;
        return true;
    }

    /// Delays and refuses by the faults in force; returns whether the call was refused.
    bool fails(httplib::Response& out) {
        if (m_faults.slow_ms > 0) {
            spend_ms(m_faults.slow_ms);
        }
        for (int i = 0; m_faults.hang && i < 600; ++i) {
            spend_ms(100);
        }
        if (m_faults.down) {
            out.status = 503;
            return true;
        }
        return false;
    }

    void add_call(httplib::Server& server, const std::string& path,
                  std::function<json(const json&)> run) {
        server.Post(path, [this, path, run = std::move(run)](const httplib::Request& in,
                                                             httplib::Response& out) {
            m_counter.count(path);
            if (fails(out)) {
                return;
            }
            const json request = json::parse(in.body);
            if (path == "/v3/kv/range" && refuses_read(request.value("key", ""))) {
                out.status = 503;
                return;
            }
            const json answer = run(request);
            if (path == "/v3/kv/txn" && answer.value("succeeded", false)) {
                note_write(written_key(request));
            }
            if (path == "/v3/kv/txn" && m_faults.lose_answers > 0) {
                --m_faults.lose_answers;
                lose_answer(out);
                return;
            }
            out.set_content(answer.dump(), "application/json");
        });
    }

    void watch(const json& in, httplib::Response& out) {
        const json request = in.at("create_request");
        const auto next = std::make_shared<std::int64_t>(m_store.revision() + 1);
        out.set_chunked_content_provider(
            "application/json", [this, request, next](std::size_t, httplib::DataSink& sink) {
                const json events = m_store.changes_since(request, *next);
                *next = m_store.revision() + 1;
                if (!events.empty()) {
                    const std::string line = json{{"result", {{"events", events}}}}.dump() + "\n";
                    return sink.write(line.data(), line.size());
                }
                spend_ms(50);
                return sink.is_writable();
            });
    }

    key_value_store m_store;
    platform_faults m_faults;
    call_counter m_counter;
    std::mutex m_reads_mutex;
    std::map<std::string, int> m_reads_to_refuse;
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
