/// \file
/// Defines the rate limiter for one daemon's calls to the key-value service.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace eelgrassdoor::platform {

/// A token bucket in which each call takes one token. Thread-safe; its mutex is a leaf in the
/// lock order.
class call_rate_limiter {
public:
    /// \p calls_per_second is both the refill rate and the capacity; the bucket starts full.
    call_rate_limiter(double calls_per_second, clock_fn clock);

    /// Takes a token without waiting; returns false when none is available.
    bool try_acquire();
    /// Time until a token is available; zero when one is available now. Another thread may take it
    /// first.
    duration time_until_available();

private:
    /// Adds the tokens that have accrued since the last call.
    void refill() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const double m_rate;
    const clock_fn m_clock;
    absl::Mutex m_mutex;
    double m_tokens ABSL_GUARDED_BY(m_mutex);
    time_point m_refilled_at ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::platform
