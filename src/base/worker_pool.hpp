/// \file
/// Defines a thread pool for blocking work, such as calls to targets.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace eelgrassdoor {

/// Runs tasks in FIFO order on up to \p max_threads threads. Threads are started on demand, as most
/// hosts need few of them and an idle thread costs memory. Thread-safe.
class worker_pool {
public:
    explicit worker_pool(std::size_t max_threads) : m_max_threads(max_threads) {}
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { stop(); }

    /// Queues \p task. Returns false, without queueing it, when the pool has been stopped or
    /// \p max_queued tasks are already queued. Tasks must not throw.
    bool submit(std::function<void()> task, std::size_t max_queued = 10'000);
    /// Refuses new tasks, waits until the queued tasks have been executed and joins the threads.
    void stop();
    /// Returns the number of threads that are not idle.
    std::size_t busy() const;

private:
    /// Executes tasks until the pool is stopped and none are queued; body of each thread.
    void run();

    const std::size_t m_max_threads;
    mutable absl::Mutex m_mutex;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idle ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace eelgrassdoor
