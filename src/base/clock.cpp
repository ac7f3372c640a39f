#include "base/clock.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassdoor {

clock_fn steady_clock() {
    return [] { return std::chrono::steady_clock::now(); };
}

clock_fn manual_clock::reader() {
    return [this] { return m_now; };
}

double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

int retry_after_seconds(duration d) {
    return std::max(1, static_cast<int>(std::ceil(to_seconds(d))));
}

} // namespace eelgrassdoor
