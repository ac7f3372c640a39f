#include "platform/call_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::platform {

call_rate_limiter::call_rate_limiter(double calls_per_second, clock_fn clock)
    : m_rate(calls_per_second), m_clock(std::move(clock)), m_tokens(calls_per_second),
      m_refilled_at(m_clock()) {}

void call_rate_limiter::refill() {
    const time_point now = m_clock();
    m_tokens = std::min(m_rate, m_tokens + m_rate * to_seconds(now - m_refilled_at));
    m_refilled_at = now;
}

bool call_rate_limiter::try_acquire() {
    const absl::MutexLock lock(&m_mutex);
    refill();
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

duration call_rate_limiter::time_until_available() {
    const absl::MutexLock lock(&m_mutex);
    refill();
    return m_tokens >= 1 ? duration{} : from_seconds((1 - m_tokens) / m_rate);
}

} // namespace eelgrassdoor::platform
