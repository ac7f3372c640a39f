/// \file
/// Defines the timing model of a simulated engine: request slots, FIFO queue, prefix cache.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace eelgrassdoor::stand_in {

/// Capacity and latency of a simulated engine.
struct engine_options {
    /// Requests processed concurrently.
    int slots = 8;
    /// Decode time per token.
    int token_ms = 5;
    /// Prefill time of a prompt whose prefix is not cached.
    int prefill_ms = 40;
    /// Prefill time of a prompt whose prefix is cached.
    int cached_prefill_ms = 8;
    /// Prefixes kept in the cache; the least recently used is evicted.
    std::size_t cache_entries = 32;
    /// Age of the load that the engine reports.
    int lag_ms = 200;
};

/// Number of requests in slots and in the queue, as reported by the engine.
struct engine_load {
    int running = 0;
    int waiting = 0;
};

/// Assigns slots to requests in FIFO order, without priorities. Thread-safe.
class engine_model {
public:
    explicit engine_model(engine_options options) : m_options(options) {}

    /// Waits for a slot and takes it. Returns false, without a slot, once \p cancelled returns
    /// true; it is polled about every 10 ms while waiting. Release the slot with release_slot().
    template <typename Cancelled> bool acquire_slot(Cancelled cancelled) {
        std::unique_lock lock(m_mutex);
        const std::uint64_t queue_id = m_next_queue_id++;
        m_queue.push_back(queue_id);
        record_load();
        while (m_running >= m_options.slots || m_queue.front() != queue_id) {
            m_state_changed.wait_for(lock, std::chrono::milliseconds(10));
            if (cancelled()) {
                std::erase(m_queue, queue_id);
                record_load();
                m_state_changed.notify_all();
                return false;
            }
        }
        m_queue.pop_front();
        ++m_running;
        record_load();
        m_state_changed.notify_all();
        return true;
    }
    /// Frees a slot obtained from acquire_slot().
    void release_slot();
    /// Returns the time to the first token of \p prompt: shorter when its first 256 bytes are in
    /// the prefix cache. Adds them to the cache.
    std::chrono::milliseconds prefill_time(const std::string& prompt);
    /// Returns the load as it was `lag_ms` ago; zero before the first sample of that age.
    engine_load reported_load();
    [[nodiscard]] const engine_options& options() const { return m_options; }
    /// Returns how often prefill_time() found its prefix in the cache.
    std::uint64_t cache_hits();

private:
    struct load_sample {
        std::chrono::steady_clock::time_point at;
        engine_load load;
    };

    /// Appends the current load to the history and drops samples older than `lag_ms`, except the
    /// newest of these. The caller holds the mutex.
    void record_load();

    const engine_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    std::deque<std::uint64_t> m_queue;
    std::uint64_t m_next_queue_id = 0;
    int m_running = 0;
    std::deque<load_sample> m_load_history;
    std::list<std::string> m_prefix_cache;
    std::uint64_t m_cache_hits = 0;
};

} // namespace eelgrassdoor::stand_in
