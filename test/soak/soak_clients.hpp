/// \file
/// Defines the callers of a soak and what they check.
#pragma once

#include "base/random_source.hpp"
#include "soak/first_tries.hpp"
#include "soak/soak_fleet.hpp"
#include "soak/traffic.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::test {

/// What callers send.
struct traffic_options {
    duration stream_interval = milliseconds(60);
    duration job_interval = milliseconds(500);
    int kept_clients = 16;
    /// Zero for no jobs with long items, and for no streams that may not be repeated.
    duration long_job_interval{};
    duration once_stream_interval{};
    /// Pause in a stream after which its caller gives up, and takes it up if it may be resumed.
    /// Zero for callers that wait.
    duration patience{};
};

/// What callers have seen.
struct soak_counts {
    int streams = 0;
    int whole_streams = 0;
    /// Streams that a caller has taken up with success.
    int resumed_streams = 0;
    /// Streams that may not be resumed, and those among them that are whole.
    int once_streams = 0;
    int whole_once_streams = 0;
    /// Tries of streams that their callers gave up.
    int given_up_streams = 0;
    /// Streams whose callers went on to another host after the first events, and those among them
    /// that went on at any host.
    int moved_streams = 0;
    int resumed_moved_streams = 0;
    /// Streams that hold events of two software versions.
    int mixed_streams = 0;
    /// Requests over kept connections, and those among them that were answered.
    int kept_requests = 0;
    int answered_kept_requests = 0;
    /// By host: connections that were closed without an answer to a request although the host had
    /// not been disturbed.
    std::map<std::string, int> lost_requests;
    int accepted_jobs = 0;
    int finished_jobs = 0;
    /// Texts of complete items that were checked, and long ones among them.
    int texts = 0;
    int long_texts = 0;
    /// Streams and texts that miss an event, or have one twice or out of order, and results that
    /// have changed.
    std::vector<std::string> faults;
};

/// Sends streams, which it takes up again when they break off, and batch jobs. Must outlive its
/// callers. Not thread-safe.
class soak_clients {
public:
    soak_clients(net::asio::io_context& loop, random_source& random, soak_fleet& fleet,
                 traffic_options traffic)
        : m_loop(loop), m_random(random), m_fleet(fleet), m_traffic(traffic) {}

    /// Starts to send; goes on until stop().
    void start();
    void stop() { m_stopped = true; }
    /// Begins a stream under \p path at an entry host other than \p next. Its caller leaves that
    /// host after a few events or a short silence, and takes the stream up at \p next.
    void start_moving_stream(std::string path, daemon_process& next) {
        spawn(run_moving_stream(std::move(path), next));
    }
    /// Whether no caller is waiting any more.
    [[nodiscard]] bool is_idle() const { return m_running == 0; }
    [[nodiscard]] const soak_counts& counts() const { return m_counts; }
    [[nodiscard]] const first_tries& tries() const { return m_tries; }
    /// Checks that requests that may not be repeated ran once at most, and refused ones never.
    void check_single_runs() const;

private:
    struct stream_part {
        std::string attempt;
        std::string version;
        std::uint64_t first_event = 0;
    };
    /// What a caller has received of one stream over all its tries.
    struct stream_text {
        std::vector<stream_part> parts;
        std::set<std::string> versions;
        std::uint64_t last_event = 0;
        /// The caller's attempt that brought the first event.
        std::string first_attempt;
        bool whole = false;
        bool resumed = false;
        /// Event after which the caller leaves the host; 0 for none.
        std::uint64_t last_wanted = 0;
        /// Silence after which the caller gives up.
        duration patience{};
    };

    struct stream_try;
    struct job_shape {
        std::size_t items = 1;
        std::uint64_t events = events_per_stream;
        /// Begins the paths of its items.
        std::string_view path = "/j/";
    };

    void spawn(net::task<> caller);
    net::task<> send_streams();
    net::task<> send_jobs();
    net::task<> send_long_jobs();
    net::task<> send_once_streams();
    net::task<> send_once();
    net::task<> run_once();
    void record(const daemon_process& host, request_kind kind, time_point sent_at, bool served);
    /// Sends one request after the other over a connection, until that ends, then over another.
    net::task<> run_kept_client();
    net::task<> run_stream(int number);
    net::task<> run_once_stream();
    net::task<> run_moving_stream(std::string path, daemon_process& next);
    /// Sends a stream once, or takes it up where \p text ends. The last part of \p target is the id
    /// of the attempt. Returns the status; 0 for none.
    net::task<int> try_stream(std::string endpoint, std::string target, stream_text& text,
                              time_point deadline);
    net::task<> read_stream(std::shared_ptr<stream_try> one);
    void check_stream(const std::string& name, const stream_text& text);
    /// Checks the body of an answer that has ended as complete.
    void check_plain(const std::string& name, std::string body, std::uint64_t events);
    /// Takes complete events out of \p bytes into \p text.
    void take_events(std::string& bytes, stream_text& text, const std::string& attempt);
    net::task<> run_job(int number, job_shape shape);
    net::task<net::http_response> call(std::string endpoint, std::string method, std::string target,
                                       std::string id, std::string body);
    /// Checks the page that a read from position 0 returned against the results known before.
    void check_results(const std::string& job, const std::string& page, std::uint64_t events,
                       std::map<std::string, std::string>& known);
    void check_text(const std::string& item, const std::string& text, std::uint64_t events);
    [[nodiscard]] daemon_process& random_entry_host();
    [[nodiscard]] std::string random_id();
    [[nodiscard]] duration patience() const;

    net::asio::io_context& m_loop;
    random_source& m_random;
    soak_fleet& m_fleet;
    traffic_options m_traffic;
    soak_counts m_counts;
    first_tries m_tries;
    /// Paths of requests that may not be repeated and were answered as not run.
    std::set<std::string> m_refused;
    bool m_stopped = false;
    int m_running = 0;
};

} // namespace eelgrassdoor::test
