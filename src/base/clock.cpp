#include "base/clock.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace eelgrassdoor {

namespace {

/// A hundred years: the sum with a time since the start of a clock still fits into nanoseconds.
constexpr double max_duration_s = 100 * 365.25 * 24 * 3600;

} // namespace

clock_fn steady_clock() {
    return [] { return std::chrono::steady_clock::now(); };
}

clock_fn manual_clock::reader() {
    return [this] { return m_now; };
}

double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

std::int64_t to_ms(duration d) {
    return std::chrono::duration_cast<milliseconds>(d).count();
}

duration from_seconds(double s) {
    s = std::clamp(s, -max_duration_s, max_duration_s);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

int retry_after_seconds(duration d) {
    return std::max(1, static_cast<int>(std::ceil(to_seconds(d))));
}

clock_fn boot_clock() {
    return [] {
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    };
}

std::int64_t wall_clock_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace eelgrassdoor
