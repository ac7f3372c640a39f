/// \file
/// Defines how an engine stand-in spends time: slots, first-come queue and prefix cache.
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

/// The speed and size of an engine.
struct engine_options {
    int slots = 8;
    int token_ms = 5;
    int prefill_ms = 40;
    /// Prefill of a prompt whose start is in the prefix cache.
    int cached_prefill_ms = 8;
    std::size_t cache_entries = 32;
    /// How old the load is that the engine reports.
    int lag_ms = 200;
};

/// The load as the engine reports it.
struct engine_load {
    int running = 0;
    int waiting = 0;
};

/// Admits requests first come, first served; knows no priorities. Thread-safe.
class engine_model {
public:
    explicit engine_model(engine_options options) : m_options(options) {}

    /// Waits for a slot; returns false when \p cancelled says that the caller went away meanwhile.
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
    void release_slot();
    /// The time to the first token, by whether the start of \p prompt is cached.
    std::chrono::milliseconds prefill_time(const std::string& prompt);
    /// The load as it was one lag ago.
    engine_load reported_load();
    [[nodiscard]] const engine_options& options() const { return m_options; }
    std::uint64_t cache_hits();

private:
    struct load_sample {
        std::chrono::steady_clock::time_point at;
        engine_load load;
    };

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
