/// \file
/// Defines the callers of a soak and what they check.
#pragma once

#include "base/random_source.hpp"
#include "soak/first_tries.hpp"
#include "soak/soak_fleet.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What callers have seen.
struct soak_counts {
    int streams = 0;
    int whole_streams = 0;
    /// Streams that a caller has taken up with success.
    int resumed_streams = 0;
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
    /// Streams and texts that miss an event, or have one twice or out of order, and results that
    /// have changed.
    std::vector<std::string> faults;
};

/// Sends streams, which it takes up again when they break off, and batch jobs. Must outlive its
/// callers. Not thread-safe.
class soak_clients {
public:
    soak_clients(net::asio::io_context& loop, random_source& random, soak_fleet& fleet)
        : m_loop(loop), m_random(random), m_fleet(fleet) {}

    /// Starts to send; goes on until stop().
    void start();
    void stop() { m_stopped = true; }
    /// Whether no caller is waiting any more.
    [[nodiscard]] bool is_idle() const { return m_running == 0; }
    [[nodiscard]] const soak_counts& counts() const { return m_counts; }
    [[nodiscard]] const first_tries& tries() const { return m_tries; }
    /// Checks that requests that may not be repeated ran once at most, and refused ones never.
    void check_single_runs() const;

private:
    /// What a caller has received of one stream over all its tries.
    struct stream_text {
        std::set<std::string> versions;
        std::uint64_t last_event = 0;
        /// The caller's attempt that brought the first event.
        std::string first_attempt;
        bool whole = false;
        bool resumed = false;
    };

    void spawn(net::task<> caller);
    net::task<> send_streams();
    net::task<> send_jobs();
    net::task<> send_once();
    net::task<> run_once();
    void record(const daemon_process& host, request_kind kind, time_point sent_at, bool served);
    /// Sends one request after the other over a connection, until that ends, then over another.
    net::task<> run_kept_client();
    net::task<> run_stream(int number);
    /// Sends a stream once, or takes it up where \p text ends. Returns whether anything has
    /// arrived.
    net::task<bool> try_stream(std::string endpoint, stream_text& text, time_point deadline);
    /// Takes complete events out of \p bytes into \p text.
    void take_events(std::string& bytes, stream_text& text, const std::string& attempt);
    net::task<> run_job(int number, std::size_t size);
    net::task<net::http_response> call(std::string endpoint, std::string method, std::string target,
                                       std::string id, std::string body);
    /// Checks the page that a read from position 0 returned against the results known before.
    void check_results(const std::string& job, const std::string& page,
                       std::map<std::string, std::string>& known);
    void check_text(const std::string& item, const std::string& text);
    [[nodiscard]] daemon_process& random_entry_host();
    [[nodiscard]] std::string random_id();

    net::asio::io_context& m_loop;
    random_source& m_random;
    soak_fleet& m_fleet;
    soak_counts m_counts;
    first_tries m_tries;
    /// Paths of requests that may not be repeated and were answered as not run.
    std::set<std::string> m_refused;
    bool m_stopped = false;
    int m_running = 0;
};

} // namespace eelgrassdoor::test
