/// \file
/// Defines the bound on retries. Pure: no I/O.
#pragma once

namespace eelgrassdoor::routing {

/// Allows retries in proportion to requests. Every daemon keeps the same proportion, so the fleet
/// as a whole does too, without messages.
class retry_budget {
public:
    /// Retries for each request, and how many may come at once.
    static constexpr double ratio = 0.1;
    static constexpr double burst = 10;

    void record_request() { m_tokens = m_tokens + ratio < burst ? m_tokens + ratio : burst; }
    /// Takes one retry when the budget has one.
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
