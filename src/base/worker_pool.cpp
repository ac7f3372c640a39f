#include "base/worker_pool.hpp"

#include <utility>

namespace eelgrassdoor {

bool worker_pool::submit(std::function<void()> task, std::size_t max_queued) {
    const absl::MutexLock lock(&m_mutex);
    if (m_stopping || m_tasks.size() >= max_queued) {
        return false;
    }
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_max_threads) {
        m_threads.emplace_back([this] { run(); });
    }
    return true;
}

void worker_pool::stop() {
    std::vector<std::thread> threads;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

std::size_t worker_pool::busy() const {
    const absl::MutexLock lock(&m_mutex);
    return m_threads.size() - m_idle;
}

void worker_pool::run() {
    while (true) {
        std::function<void()> task;
        {
            const absl::MutexLock lock(&m_mutex);
            ++m_idle;
            const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !m_tasks.empty();
            };
            m_mutex.Await(absl::Condition(&ready));
            --m_idle;
            if (m_tasks.empty()) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

} // namespace eelgrassdoor
