/// \file
/// Defines the structured log of decisions, one JSON object per line.
#pragma once

#include "base/clock.hpp"
#include "observe/event.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassdoor::observe {

/// Name and value of one field of a log line.
using log_field = std::pair<std::string_view, std::string>;

struct decision_log_options {
    std::string host;
    /// File descriptor to write to, by default standard output; it is set to non-blocking mode.
    int descriptor = 1;
    /// Sustained rate limit for log lines. At the design size a daemon serves 10 requests per
    /// second, with about four lines each.
    double lines_per_second = 100;
    /// Number of lines that may be written at once.
    double burst_lines = 500;
};

/// Writes one JSON line per decision without blocking: lines over the rate limit, and lines that do
/// not fit into the output buffer of a slow reader, are dropped and counted in a later line. Events
/// above severity info have a rate limit of their own, so that a burst of info lines cannot
/// displace them. Not thread-safe.
class decision_log {
public:
    decision_log(decision_log_options options, clock_fn clock);
    ~decision_log() { flush(); }
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Buffers a line for the event \p id. \p subject is the id of the request, job, target or
    /// customer concerned; it is left out when empty.
    void write(event id, std::string_view subject, std::initializer_list<log_field> fields = {});
    /// Writes the buffered lines to the descriptor as far as it accepts them. Called a few times
    /// per second.
    void flush();

    /// Returns the number of lines dropped since construction.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    /// Rate limiter; one token allows one line.
    struct token_bucket {
        double tokens = 0;
        time_point refilled_at{};
    };
    /// Takes one token; returns false when there is none.
    bool try_take(token_bucket& bucket);
    /// Buffers a line with the number of lines dropped since the last such line, if any were.
    void append_dropped_count();

    const decision_log_options m_options;
    const clock_fn m_clock;
    token_bucket m_info_bucket;
    token_bucket m_warning_bucket;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_reported = 0;
};

} // namespace eelgrassdoor::observe
