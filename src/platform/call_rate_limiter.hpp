/// \file
/// Defines the budget of calls that one daemon may make to the key-value service.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace eelgrassdoor::platform {

/// A token bucket over calls. Thread-safe; a leaf in the lock order.
class call_budget {
public:
    /// \p calls_per_second also bounds the calls that come at once.
    call_budget(double calls_per_second, clock_fn clock);

    /// Takes one call when the budget has one.
    bool try_take();
    /// When the next call may be made; zero when one may be made now.
    duration until_next();

private:
    void refill() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const double m_rate;
    const clock_fn m_clock;
    absl::Mutex m_mutex;
    double m_calls ABSL_GUARDED_BY(m_mutex);
    time_point m_filled_at ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::platform
