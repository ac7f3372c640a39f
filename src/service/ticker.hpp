/// \file
/// Defines the thread that runs a step again and again until it is stopped.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <thread>

namespace eelgrassdoor::service {

/// Runs a step at an interval, and at once when it is woken. Thread-safe.
class ticker {
public:
    ticker() = default;
    ~ticker() { stop(); }
    ticker(const ticker&) = delete;
    ticker& operator=(const ticker&) = delete;

    void start(duration interval, std::function<void()> step);
    /// Runs the step without waiting for the interval to pass.
    void wake();
    /// Waits for the step in hand and ends the thread.
    void stop();

private:
    void run(duration interval, const std::function<void()>& step);

    absl::Mutex m_mutex;
    bool m_woken ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace eelgrassdoor::service
