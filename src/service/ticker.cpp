#include "service/ticker.hpp"

#include <absl/time/time.h>

#include <utility>

namespace eelgrassdoor::service {

void ticker::start(duration interval, std::function<void()> step) {
    m_thread = std::thread([this, interval, step = std::move(step)] { run(interval, step); });
}

void ticker::run(duration interval, const std::function<void()>& step) {
    while (true) {
        step();
        const absl::MutexLock lock(&m_mutex);
        const auto due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            return m_woken || m_stopping;
        };
        m_mutex.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(interval));
        m_woken = false;
        if (m_stopping) {
            return;
        }
    }
}

void ticker::wake() {
    const absl::MutexLock lock(&m_mutex);
    m_woken = true;
}

void ticker::stop() {
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace eelgrassdoor::service
