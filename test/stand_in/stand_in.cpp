#include "stand_in/stand_in.hpp"

#include "base/worker_pool.hpp"
#include "http/server.hpp"
#include "observe/log.hpp"

#include <absl/time/clock.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <thread>

namespace eelgrassdoor::stand_in {

namespace {

constexpr int default_max_run_s = 900;
constexpr std::size_t max_threads = 1024;
constexpr int listen_backlog = 1024;

/// Serves each connection on a thread of its own, up to `max_threads` at a time.
class worker_pool_task_queue : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> serve) override { m_pool.submit(std::move(serve)); }
    void shutdown() override { m_pool.stop(); }

private:
    worker_pool m_pool{max_threads};
};

} // namespace

arguments::arguments(int argc, char** argv) {
    for (int i = 1; i + 1 < argc; i += 2) {
        std::string name = argv[i];
        m_values[name.substr(name.find_first_not_of('-'))] = argv[i + 1];
    }
}

std::string arguments::text(const std::string& name, const std::string& fallback) const {
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

int arguments::number(const std::string& name, int fallback) const {
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::stoi(found->second);
}

int serve_until_signal(httplib::Server& server, const arguments& args) {
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    observe::init_log(observe::severity::error);
    int listener = -1;
    server.new_task_queue = [] { return new worker_pool_task_queue; };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000'000);
    server.set_keep_alive_timeout(60);
    server.set_socket_options([&listener](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        listener = socket;
    });
    const int port = args.number("port", 0);
    if (!server.bind_to_port("127.0.0.1", port)) {
        std::cerr << "cannot listen on port " << port << "\n";
        return 1;
    }
    ::listen(listener, listen_backlog);
    std::thread serving([&server] { server.listen_after_bind(); });
    const timespec max_run_time{args.number("max-run-s", default_max_run_s), 0};
    sigtimedwait(&stop_signals, nullptr, &max_run_time);
    // Exits without a graceful shutdown: stopping a stand-in also simulates the loss of a host, so
    // open connections have to break.
    std::_Exit(0);
}

void truncate_response(httplib::Response& response) {
    response.set_content_provider(
        1, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void wait_ms(int milliseconds) {
    absl::SleepFor(absl::Milliseconds(milliseconds));
}

std::unique_ptr<observe::event_recorder> make_event_recorder(const arguments& args,
                                                             const std::string& name) {
    return std::make_unique<observe::event_recorder>(
        observe::event_recorder_options{name, args.text("zone", ""), 0, args.text("timeline", "")});
}

void merge_stamp(observe::event_recorder& events, const httplib::Request& request) {
    const std::string stamp = request.get_header_value("X-Causal-Stamp");
    if (!stamp.empty()) {
        events.merge_stamp(std::stoull(stamp));
    }
}

} // namespace eelgrassdoor::stand_in
