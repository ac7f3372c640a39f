#include "platform/call_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::platform {

call_budget::call_budget(double calls_per_second, clock_fn clock)
    : m_rate(calls_per_second), m_clock(std::move(clock)), m_calls(calls_per_second),
      m_filled_at(m_clock()) {}

void call_budget::refill() {
    const time_point now = m_clock();
    m_calls = std::min(m_rate, m_calls + m_rate * to_seconds(now - m_filled_at));
    m_filled_at = now;
}

bool call_budget::try_take() {
    const absl::MutexLock lock(&m_mutex);
    refill();
    if (m_calls < 1) {
        return false;
    }
    m_calls -= 1;
    return true;
}

duration call_budget::until_next() {
    const absl::MutexLock lock(&m_mutex);
    refill();
    return m_calls >= 1 ? duration{} : from_seconds((1 - m_calls) / m_rate);
}

} // namespace eelgrassdoor::platform
