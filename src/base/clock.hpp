/// \file
/// Defines the injectable clocks and conversions of durations.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace eelgrassdoor {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the current monotonic time. Tests substitute a manual_clock.
using clock_fn = std::function<time_point()>;

/// Reads std::chrono::steady_clock.
clock_fn steady_clock();

/// Reads the time since the host booted, including the time it was suspended, which steady_clock()
/// does not count. Use it for deadlines that pass while the host is suspended, such as the end of a
/// lease.
clock_fn boot_clock();

/// Returns the wall-clock time in milliseconds since the Unix epoch. It differs between hosts and
/// may jump when the clock is set.
std::int64_t wall_clock_ms();

/// A clock for tests that changes only when it is advanced. It starts at one hour. Not thread-safe.
class manual_clock {
public:
    /// Returns a function that reads this clock; the clock must outlive it.
    clock_fn reader();
    /// Moves the clock forward by \p step.
    void advance(duration step) { m_now += step; }
    [[nodiscard]] time_point now() const { return m_now; }

private:
    time_point m_now = time_point() + std::chrono::hours(1);
};

/// Returns \p d in seconds, including the fraction.
double to_seconds(duration d);

/// Returns \p d in milliseconds, rounded towards zero.
std::int64_t to_ms(duration d);

/// Returns a duration of \p s seconds, which may be fractional; at most a hundred years.
duration from_seconds(double s);

/// Returns the value of a Retry-After header for \p d: whole seconds, rounded up, at least 1.
int retry_after_seconds(duration d);

} // namespace eelgrassdoor
