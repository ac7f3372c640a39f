/// \file
/// Defines the structured log of decisions on standard output.
#pragma once

#include "base/clock.hpp"
#include "observe/event.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassdoor::observe {

/// One named value of a log line.
using log_field = std::pair<std::string_view, std::string>;

struct decision_log_options {
    std::string host;
    /// File descriptor that gets the lines; it is made non-blocking.
    int descriptor = 1;
    /// Lines a second on average and at once. Source: at the design size a daemon gets 10 requests
    /// a second, with about four lines each.
    double lines_per_second = 100;
    double burst_lines = 500;
};

/// Writes one JSON line for each decision. Never blocks: lines over the budget, and lines that the
/// reader is too slow for, are dropped and counted in a later line. Warnings have a budget of their
/// own, so that a flood of ordinary lines cannot hide them.
class decision_log {
public:
    decision_log(decision_log_options options, clock_fn clock);
    ~decision_log() { flush(); }
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Adds a line about \p subject: a request, a job, a target or a customer; it may be empty.
    void write(event id, std::string_view subject, std::initializer_list<log_field> fields = {});
    /// Hands the collected lines to the system. Called a few times a second.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    struct token_bucket {
        double tokens = 0;
        time_point refilled_at{};
    };
    bool try_take(token_bucket& bucket);
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
