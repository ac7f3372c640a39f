/// \file
/// Defines a thread that calls a function periodically.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace eelgrassdoor::service {

/// Calls a function on its own thread, periodically and whenever it is woken. Thread-safe.
class ticker {
public:
    ticker() = default;
    ~ticker() { stop(); }
    ticker(const ticker&) = delete;
    ticker& operator=(const ticker&) = delete;

    /// Starts the thread; the first call is made at once. \p interval is the time from the end of
    /// one call to the start of the next. Call once.
    void start(duration interval, std::function<void()> step);
    /// Makes the next call without waiting for the interval to pass.
    void wake();
    /// Waits for the current call to return, and ends the thread.
    void stop();

private:
    void run(duration interval, const std::function<void()>& step);

    absl::Mutex m_mutex;
    bool m_woken ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace eelgrassdoor::service
