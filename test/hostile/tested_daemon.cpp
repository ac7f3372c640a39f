#include "hostile/tested_daemon.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr auto* host_name = "host-1";
constexpr auto* model = "intake-lm";
constexpr auto* operator_key = "operator-key-of-the-hostile-tests";
constexpr auto* peer_secret = "peer-secret-of-the-hostile-tests";
constexpr auto* sheet =
    "record,name,rate_per_second,burst,weight,kind,model,access,idempotent,timeout_ms,"
    "batch_reserve_percent\n"
    "availability_zone,zone-1,,,,,,,,,\n"
    "model,intake-lm,,,,,,,,,20\n"
    "route,public,,,,model,intake-lm,open,yes,20000,\n";
/// A fleet of this size starts in about 2 s; the bound only ends a test that hangs.
constexpr seconds start_bound{60};
constexpr milliseconds poll_interval{100};
/// What a client waits after an attempt whose connection was closed.
constexpr seconds retry_pause{1};
constexpr std::size_t bytes_per_kib = 1024;

int free_port() {
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(s, reinterpret_cast<const sockaddr*>(&address), size);
    ::getsockname(s, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(s);
    return ntohs(address.sin_port);
}

/// Lets \p time pass, as a client does between two attempts.
void wait_for(milliseconds time) {
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, time, [] { return false; });
}

/// Polls \p condition until it holds; false after the bound of the start.
bool eventually(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + start_bound;
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
        wait_for(poll_interval);
    }
    return true;
}

nlohmann::json host_entry(const char* name, const char* kind, int http_port, int peer_port,
                          const nlohmann::json& serves) {
    return {{"host", name},           {"availability_zone", "zone-1"},
            {"kind", kind},           {"address", "127.0.0.1"},
            {"http_port", http_port}, {"peer_port", peer_port},
            {"state", "live"},        {"serves", serves}};
}

} // namespace

tested_daemon::tested_daemon(std::string programs, std::string folder)
    : m_programs(std::move(programs)), m_folder(std::move(folder)), m_store_port(free_port()),
      m_engine_port(free_port()), m_caller_port(free_port()), m_peer_port(free_port()) {
    std::filesystem::create_directories(m_folder);
}

void tested_daemon::launch(child_process& process, const std::string& program,
                           std::vector<std::string> arguments) const {
    process.start({.program = m_programs + "/" + program,
                   .arguments = std::move(arguments),
                   .environment = {},
                   .log = m_folder + "/log"});
}

bool tested_daemon::start() {
    launch(m_store, "test/fake_platform", {"--port", std::to_string(m_store_port)});
    launch(m_engine, "test/fake_engine",
           {"--port", std::to_string(m_engine_port), "--name", "engine-1"});
    const nlohmann::json hosts = {
        host_entry(host_name, "entry", m_caller_port, m_peer_port, nlohmann::json::array()),
        host_entry("engine-1", "engine", m_engine_port, 0, {model})};
    const bool listed = eventually([&] {
        const auto answer = httplib::Client("127.0.0.1", m_store_port)
                                .Post("/hosts/set", hosts.dump(), "application/json");
        return answer && answer->status == 200;
    });
    launch(m_daemon, "eelgrassdoord",
           {"--host", host_name, "--availability-zone", "zone-1", "--http-port",
            std::to_string(m_caller_port), "--peer-port", std::to_string(m_peer_port),
            "--platform-url", "http://127.0.0.1:" + std::to_string(m_store_port), "--peer-secret",
            peer_secret, "--operator-key", operator_key, "--max-callers", "16", "--body-memory-mib",
            "96"});
    const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + operator_key},
                                      {"X-Operator", "test"}};
    return listed && eventually([&] {
               const auto answer =
                   httplib::Client("127.0.0.1", m_caller_port)
                       .Post("/admin/v1/sheet?from_version=0", headers, sheet, "text/csv");
               return answer && answer->status == 200;
           }) &&
           eventually([this] { return serves(); });
}

std::size_t tested_daemon::peak_memory() const {
    std::ifstream status("/proc/" + std::to_string(m_daemon.pid()) + "/status");
    std::string name;
    while (status >> name) {
        if (std::size_t kib = 0; name == "VmHWM:" && status >> kib) {
            return kib * bytes_per_kib;
        }
    }
    return 0;
}

std::size_t tested_daemon::descriptors() const {
    std::size_t count = 0;
    std::error_code ignored;
    const std::string folder = "/proc/" + std::to_string(m_daemon.pid()) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder, ignored)) {
        count += entry.path().empty() ? 0 : 1;
    }
    return count;
}

bool tested_daemon::serves() const {
    httplib::Client client("127.0.0.1", m_caller_port);
    client.set_read_timeout(seconds(10));
    const auto answer = client.Post(
        "/v1/completions", R"({"model":"public","prompt":"grade of lot 7","max_tokens":4})",
        "application/json");
    if (!answer || answer->status != 200) {
        const bool told = answer && answer->has_header("Retry-After");
        wait_for(told ? seconds(std::stoi(answer->get_header_value("Retry-After"))) : retry_pause);
    }
    return answer && answer->status == 200;
}

} // namespace eelgrassdoor::test
