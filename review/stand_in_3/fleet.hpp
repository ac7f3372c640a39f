/// \file
/// Defines a small deployment for the cases of the review: daemons as processes of their own, and
/// the store, the engines and the clients in this program.
#pragma once

#include "engine.hpp"
#include "soak/daemon_process.hpp"
#include "soak/store_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::review {

/// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct fleet_options {
    int entry_hosts = 4;
    int job_hosts = 2;
    int engines = 4;
    int zones = 4;
    /// Cap of waiting tokens of a tenant on the batch route; 0 for none.
    std::uint64_t cap = 0;
    int entry_memory_mb = 260;
    int job_memory_mb = 290;
    /// Bytes that each event has more.
    std::size_t event_padding = 0;
    /// Software versions of the engines, in turn.
    std::vector<std::string> versions{"v1"};
    /// Services of the engines, in turn: "s", which the routes /q/ and /j/ use, and "s2", which the
    /// batch route /k/ uses.
    std::vector<std::string> services{"s"};
    /// Events of an item at "s", and the pause between events there.
    std::uint64_t item_events = 256;
    std::uint64_t stream_events = 37;
    duration event_interval = milliseconds(20);
    /// See engine::options.
    std::string crashing_part;
};

struct reply {
    /// 0 when no response came.
    int status = 0;
    std::string body;
    net::header_list headers;
};

/// At most four zones; everything listens on loopback addresses that the process id chooses. Not
/// thread-safe.
class fleet {
public:
    fleet(net::asio::io_context& loop, fleet_options options, const std::string& record_file);
    ~fleet();

    /// Starts everything and waits until the entry hosts are ready and the job hosts registered.
    net::task<bool> start();
    /// Sends a client's request on a new connection to an entry host. An empty \p key is not sent.
    net::task<reply> call(std::size_t entry_host, net::http_request request, duration timeout);
    /// A request with the headers that a client of tenant t0 sends.
    static net::http_request request(std::string method, std::string target, std::string attempt,
                                     std::string body = {});
    /// Writes a line with the time into record.txt.
    void record(const std::string& text);
    net::task<> wait(duration time);
    void spawn(net::task<> work);

    [[nodiscard]] test::daemon_process& entry(std::size_t i) { return *m_entries[i]; }
    [[nodiscard]] std::vector<std::unique_ptr<test::daemon_process>>& runners() {
        return m_runners;
    }
    [[nodiscard]] std::vector<std::unique_ptr<test::daemon_process>>& entries() {
        return m_entries;
    }
    [[nodiscard]] std::vector<std::unique_ptr<engine>>& engines() { return m_engines; }
    [[nodiscard]] test::store_server& store() { return m_store; }
    /// Whether an engine has begun to work on this request.
    [[nodiscard]] bool has_run(const std::string& attempt) const;
    /// Number of job hosts that are registered in the store.
    [[nodiscard]] std::size_t registered_runners();
    /// Ends a daemon whose resident set exceeds its memory, as the platform does, and starts it
    /// again half a second later; runs until the end.
    net::task<> enforce_memory(test::daemon_process& host);
    /// How often enforce_memory() has ended this daemon.
    [[nodiscard]] int ends_by_memory(const test::daemon_process& host) const;
    /// Largest resident set of a process so far, in MB; 0 when it does not run.
    static double peak_memory_mb(pid_t process) { return memory_mb(process, "VmHWM:"); }
    /// Resident set of a process now, in MB; 0 when it does not run.
    static double memory_mb(pid_t process, std::string_view field = "VmRSS:");

    /// Writes the next version of the configuration; the store has accepted it on return.
    void write_configuration();
    /// Writes a version that splits the route /q/ between "s" and "s2" with these weights.
    void split_route(int first, int second);

private:
    net::task<bool> is_ready(test::daemon_process& host);
    void register_engine(const engine& each);

    net::asio::io_context& m_loop;
    fleet_options m_options;
    std::FILE* m_record;
    time_point m_started_at;
    std::string m_folder;
    std::string m_network;
    int m_first_port;
    std::string m_store_endpoint;
    test::store_server m_store;
    std::vector<std::unique_ptr<test::daemon_process>> m_entries;
    std::vector<std::unique_ptr<test::daemon_process>> m_runners;
    std::vector<std::unique_ptr<engine>> m_engines;
    std::map<std::string, int> m_ends;
    int m_version = 0;
    std::string m_online_services = R"("service":"s")";
};

/// Whether the case runs with its disruption: unless TROUBLE is 0.
bool has_trouble();
/// Runs \p body with a fleet and exits with its result.
[[noreturn]] void run_case(int argc, char** argv, fleet_options options,
                           const std::function<net::task<int>(fleet&)>& body);

} // namespace eelgrassdoor::review
