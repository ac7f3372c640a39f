/// \file
/// Starts the project's daemons as processes of their own, with the command of the deploy file and
/// settings like those of a small deployment, and sends them signals.
#pragma once

#include "store.hpp"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// The program of both roles in deploy/system.toml, seen from the repository's root.
inline constexpr const char* daemon_program = "target/platform/eelgrassdoor_platform";

inline bool is_free(const endpoint& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = at.socket_address();
    const bool is_bound =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return is_bound;
}

/// Hands out loopback addresses on which no port of this test is in use.
class address_pool {
public:
    address_pool() {
        std::random_device device;
        m_second = 64 + static_cast<int>(device() % 128);
        m_third = static_cast<int>(device() % 250);
    }
    std::string next() {
        for (;;) {
            const std::string address = "127." + std::to_string(m_second) + "." +
                                        std::to_string(m_third) + "." + std::to_string(++m_last);
            if (is_free({address, 9464}) && is_free({address, 7360}) && is_free({address, 8689})) {
                return address;
            }
        }
    }

private:
    int m_second = 0;
    int m_third = 0;
    int m_last = 0;
};

class daemon {
public:
    daemon(std::string node, std::string zone, bool is_edge, std::string address)
        : m_node(std::move(node)), m_zone(std::move(zone)), m_is_edge(is_edge),
          m_address(std::move(address)) {}
    ~daemon() { kill(); }
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    void start(const std::string& folder, const std::string& store, const std::string& seeds,
               bool first) {
        const std::string file = folder + "/" + m_node + ".conf";
        std::ofstream(file) << settings(store, seeds, first);
        const std::string variable = "EELGRASSDOOR_NODE_FILE=" + file;
        const std::string log = folder + "/" + m_node + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            std::string path = "PATH=/usr/bin:/bin";
            std::string program = daemon_program;
            std::string own_variable = variable;
            char* arguments[] = {program.data(), nullptr};
            char* environment[] = {path.data(), own_variable.data(), nullptr};
            ::execve(daemon_program, arguments, environment);
            ::_exit(127);
        }
    }
    void signal(int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void kill() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    /// Waits until the process has ended. Returns false when it still runs after \p timeout_ms.
    bool wait_for_end(std::int64_t timeout_ms) {
        const std::int64_t end = now_ms() + timeout_ms;
        while (now_ms() < end) {
            if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_pid = -1;
                return true;
            }
            sleep_ms(10);
        }
        return false;
    }
    /// Whether the process runs.
    bool is_running() {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid > 0;
    }
    const std::string& node() const { return m_node; }
    endpoint front() const { return {m_address, 8689}; }
    endpoint readiness() const { return {m_address, 8687}; }
    endpoint control() const { return {m_address, 8683}; }
    bool is_edge() const { return m_is_edge; }
    pid_t pid() const { return m_pid; }

private:
    std::string settings(const std::string& store, const std::string& seeds, bool first) const {
        std::string out = "node=" + m_node + "\nrole=" + (m_is_edge ? "entry" : "jobs") +
                          "\nmachineClass=" + (m_is_edge ? "edge" : "storage") +
                          "\nserves=" + (m_is_edge ? "edge,control" : "storage") +
                          "\nip=" + m_address + "\nzone=" + m_zone + "\nregion=tt-south" +
                          "\ninternalPorts=7360,7375\nseeds=" + seeds +
                          "\nbootstrap=" + (first ? "true" : "false") +
                          "\ncountsTowardLoss=" + (m_is_edge ? "false" : "true") + "\n";
        if (m_is_edge) {
            out += "listen.front=" + front().text() + "\nlisten.readiness=" + readiness().text() +
                   "\nlisten.control=" + control().text() + "\n";
        }
        out += "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=" +
               std::string(m_is_edge ? "260" : "290") +
               "\nlimits.maxFds=" + (m_is_edge ? "4100" : "8200") +
               "\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\nbounds.contactMs=3000"
               "\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.configApplyMs=2000"
               "\nbounds.cancelMs=3000\nprovider.form=kv\nprovider.writesPerS=400"
               "\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576"
               "\nprovider.ttlMinMs=1000\nprovider.address=" +
               store + "\n";
        return out;
    }

    std::string m_node;
    std::string m_zone;
    bool m_is_edge;
    std::string m_address;
    pid_t m_pid = -1;
};

/// A small deployment: edges and storage machines in two zones, with a store.
class fleet {
public:
    fleet(record& log, int edges, int runners) : m_log(log) {
        for (int i = 0; i < edges; ++i) {
            add("edge-", true, i, i);
        }
        for (int i = 0; i < runners; ++i) {
            add("storage-", false, i, i);
        }
        m_store_at = {addresses.next(), 8688};
        char name[] = "/tmp/review-2-XXXXXX";
        m_folder = ::mkdtemp(name);
    }
    /// Ends all daemons and this program, whose threads go on until then.
    [[noreturn]] void finish(int status) {
        m_daemons.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder, ignored);
        }
        std::fflush(nullptr);
        std::_Exit(status);
    }

    address_pool addresses;
    store platform;

    /// Starts the store and the daemons.
    bool start() {
        if (!platform.start(m_store_at) || ::access(daemon_program, X_OK) != 0) {
            return false;
        }
        for (const auto& each : m_daemons) {
            each->start(m_folder, m_store_at.text(), seeds(), true);
        }
        m_log.line("started %zu daemons", m_daemons.size());
        return true;
    }
    void restart(daemon& each) {
        each.start(m_folder, m_store_at.text(), seeds(), false);
        m_log.line("%s started again", each.node().c_str());
    }
    daemon& edge(std::size_t index) { return *m_daemons.at(index); }
    daemon& runner(std::size_t index) { return *m_daemons.at(m_edges + index); }
    bool wait_until_ready(std::int64_t timeout_ms) {
        const std::int64_t end = now_ms() + timeout_ms;
        for (std::size_t i = 0; i < m_edges; ++i) {
            message check;
            check.method = "GET";
            check.target = "/eelgrassdoor/ready";
            check.headers = {{"Host", "ready"}};
            while (call(edge(i).readiness(), check, 1000).status != 200) {
                if (now_ms() > end) {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }

private:
    void add(const std::string& prefix, bool is_edge, int zone, int number) {
        const std::string zone_name = zone % 2 == 0 ? "zone-a" : "zone-b";
        m_daemons.push_back(
            std::make_unique<daemon>(prefix + zone_name + "-" + std::to_string(number + 1),
                                     zone_name, is_edge, addresses.next()));
        m_edges += is_edge ? 1 : 0;
    }
    std::string seeds() const {
        return m_daemons.at(0)->control().text() +
               (m_edges > 1 ? "," + m_daemons.at(1)->control().text() : "");
    }

    record& m_log;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::size_t m_edges = 0;
    endpoint m_store_at;
    std::string m_folder;
};

/// A configuration with tenants of one key each, `key-of-NAME`.
struct configuration {
    std::uint64_t version = 1;
    std::vector<std::string> tenants{"tenant-a", "tenant-b"};
    std::string service = "intake-lm";
    json routes = json::array();

    json to_json() const {
        json list = json::array();
        for (const std::string& each : tenants) {
            list.push_back({{"name", each},
                            {"apiKeys", json::array({"key-of-" + each})},
                            {"priority", 1},
                            {"ratePerS", 50},
                            {"burst", 50}});
        }
        return {
            {"version", version},
            {"routes", routes},
            {"services", json::array({{{"name", service},
                                       {"healthPath", "/health"},
                                       {"maxConnections", 370},
                                       {"protocol", "h1"},
                                       {"tls", false},
                                       {"engine", {{"slots", 8}, {"kvCapacityTokens", 119674}}}}})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", list}};
    }
};

inline json batch_route(std::uint64_t cap) {
    return {{"name", "settle-batch"},
            {"host", "batch.example"},
            {"pathPrefix", "/batch/"},
            {"kind", "batch"},
            {"timeoutMs", 15000},
            {"targetLatencyMs", 400},
            {"completionTargetMs", 18000},
            {"queueTtlS", 120},
            {"priority", 2},
            {"service", "intake-lm"},
            {"maxAttempts", 3},
            {"public", false},
            {"cap", cap}};
}

/// A batch job as its client sees it.
struct batch_job {
    std::string id;
    std::string tenant;
    int items = 0;
    int tokens_per_item = 0;
    std::string item_id(int index) const { return id + "-i" + std::to_string(index); }
};

class batch_client {
public:
    explicit batch_client(record& log) : m_log(log) {}

    /// Sends a submission once; the status, or 0 without a whole answer.
    int submit(const endpoint& front, const batch_job& job, std::int64_t timeout_ms = 4000,
               std::string* retry_after = nullptr, const json& item_headers = {}) const {
        message request = make("POST", "/batch/" + job.id, job);
        json items = json::array();
        for (int i = 0; i < job.items; ++i) {
            json headers{{"Model", "m"},
                         {"Token-Counts", "300,50"},
                         {"Prompt-Prefix", "5c1e07a2:100," + hash(job.item_id(i)) + ":200"}};
            if (item_headers.is_object()) {
                headers.update(item_headers);
            }
            items.push_back({{"id", job.item_id(i)},
                             {"path", "/batch/" + job.id + "/" + std::to_string(i)},
                             {"headers", headers},
                             {"body", store::to_base64("body of " + job.item_id(i))},
                             {"tokens", job.tokens_per_item}});
        }
        request.headers.emplace_back("Attempt-Id", job.id);
        request.headers.emplace_back("Content-Type", "application/json");
        request.headers.emplace_back("Deadline-Ms", std::to_string(timeout_ms));
        request.body = json{{"items", items}}.dump();
        const message got = call(front, request, timeout_ms);
        const int status = got.complete ? got.status : 0;
        m_log.line("client: POST of lot %s: %d%s%s", job.id.c_str(), status,
                   got.header("Retry-After").empty() ? "" : ", Retry-After ",
                   got.header("Retry-After").c_str());
        if (retry_after != nullptr) {
            *retry_after = got.header("Retry-After");
        }
        return status;
    }
    int end(const endpoint& front, const batch_job& job) const {
        const message got = call(front, make("DELETE", "/eelgrassdoor/lots/" + job.id, job), 4000);
        const int status = got.complete ? got.status : 0;
        m_log.line("client: DELETE of lot %s: %d", job.id.c_str(), status);
        return status;
    }
    /// Reads from a position on; nothing when the answer isn't a page.
    std::optional<json> read(const endpoint& front, const batch_job& job, std::size_t after,
                             int* status = nullptr) const {
        message request =
            make("GET", "/eelgrassdoor/lots/" + job.id + "?after=" + std::to_string(after), job);
        request.headers.emplace_back("Wait-Ms", "1000");
        const message got = call(front, request, 3000);
        if (status != nullptr) {
            *status = got.complete ? got.status : 0;
        }
        if (!got.complete || got.status != 200) {
            return std::nullopt;
        }
        json page = json::parse(got.body, nullptr, false);
        return page.is_object() ? std::optional(std::move(page)) : std::nullopt;
    }
    static std::string hash(const std::string& text) {
        char out[17];
        std::snprintf(out, sizeof out, "%08zx", std::hash<std::string>()(text) & 0xffffffffU);
        return out;
    }

private:
    static message make(std::string method, std::string target, const batch_job& job) {
        message out;
        out.method = std::move(method);
        out.target = std::move(target);
        out.headers = {{"Host", "batch.example"}, {"Credential", "key-of-" + job.tenant}};
        return out;
    }

    record& m_log;
};

/// A random id as clients choose them.
inline std::string random_id() {
    static std::mt19937_64 engine{std::random_device{}()};
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(engine()));
    return out;
}

/// Exit statuses of a script's program.
enum verdict { held = 0, broken = 1, could_not_run = 2 };

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review
