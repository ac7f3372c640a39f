/// \file
/// Defines the pool of threads that runs blocking work, such as calls to targets.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace eelgrassdoor {

/// Runs tasks on threads that are started on demand, up to a stated bound.
/// Why on demand: most hosts need few threads, and an idle one costs memory.
class worker_pool {
public:
    explicit worker_pool(std::size_t max_threads) : m_max_threads(max_threads) {}
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { stop(); }

    /// Queues \p task. Returns false when the pool is stopped or \p max_queued tasks wait already.
    bool submit(std::function<void()> task, std::size_t max_queued = 10'000);
    /// Finishes the queued tasks and joins the threads.
    void stop();
    /// The number of threads that run a task now.
    std::size_t busy() const;

private:
    void run();

    const std::size_t m_max_threads;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace eelgrassdoor
