/// \file
/// Defines the token bucket that limits retries. Performs no I/O.
#pragma once

namespace eelgrassdoor::routing {

/// Limits retries to a fixed proportion of requests. Since every daemon enforces the same ratio,
/// the whole fleet keeps it without coordination. Not thread-safe.
class retry_budget {
public:
    /// Retries earned by each request.
    static constexpr double ratio = 0.1;
    /// Retries that may be made in a burst.
    static constexpr double burst = 10;

    /// Adds the ratio to the budget, for the first attempt of a request.
    void record_request() { m_tokens = m_tokens + ratio < burst ? m_tokens + ratio : burst; }
    /// Consumes one retry. Returns false when the budget is exhausted.
    bool try_take() {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = burst;
};

} // namespace eelgrassdoor::routing
