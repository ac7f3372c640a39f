/// \file
/// Defines the monotonic clock that every decision module is given.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace eelgrassdoor {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the current monotonic time. Tests replace it by a clock that they pause and advance.
using clock_fn = std::function<time_point()>;

/// The clock of the running process.
clock_fn steady_clock();

/// The time since the host was started, also while it was suspended, which the monotonic clock does
/// not count. For what must end on time although this process was stopped, such as a lease.
clock_fn boot_clock();

/// Unix milliseconds by the wall clock, which may differ between hosts and may be set.
std::int64_t wall_clock_ms();

/// A clock that stands still until it is advanced. The object must outlive the functions it gives.
class manual_clock {
public:
    /// A function that reads this clock.
    clock_fn reader();
    /// Moves the clock forward by \p step.
    void advance(duration step) { m_now += step; }
    [[nodiscard]] time_point now() const { return m_now; }

private:
    time_point m_now = time_point() + std::chrono::hours(1);
};

/// The seconds in \p d, with fractions.
double to_seconds(duration d);

/// The whole milliseconds in \p d.
std::int64_t to_ms(duration d);

/// A duration of \p s seconds, with fractions.
duration from_seconds(double s);

/// The seconds that a caller is told to wait, rounded up and at least one.
int retry_after_seconds(duration d);

} // namespace eelgrassdoor
