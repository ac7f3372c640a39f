#include "stand_in/engine_model.hpp"

#include <algorithm>

namespace eelgrassdoor::stand_in {

namespace {

/// Length of the prompt prefix by which the cache is keyed.
constexpr std::size_t prefix_bytes = 256;

} // namespace

void engine_model::record_load() {
    const auto now = std::chrono::steady_clock::now();
    m_load_history.push_back({now, {m_running, static_cast<int>(m_queue.size())}});
    const auto cutoff = now - std::chrono::milliseconds(m_options.lag_ms);
    while (m_load_history.size() > 1 && m_load_history[1].at <= cutoff) {
        m_load_history.pop_front();
    }
}

void engine_model::release_slot() {
    const std::lock_guard lock(m_mutex);
    --m_running;
    record_load();
    m_state_changed.notify_all();
}

std::chrono::milliseconds engine_model::prefill_time(const std::string& prompt) {
    const std::string prefix = prompt.substr(0, prefix_bytes);
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_prefix_cache.begin(), m_prefix_cache.end(), prefix);
    const bool hit = found != m_prefix_cache.end();
    if (hit) {
        m_prefix_cache.erase(found);
        ++m_cache_hits;
    }
    m_prefix_cache.push_front(prefix);
    if (m_prefix_cache.size() > m_options.cache_entries) {
        m_prefix_cache.pop_back();
    }
    return std::chrono::milliseconds(hit ? m_options.cached_prefill_ms : m_options.prefill_ms);
}

engine_load engine_model::reported_load() {
    const std::lock_guard lock(m_mutex);
    const auto cutoff =
        std::chrono::steady_clock::now() - std::chrono::milliseconds(m_options.lag_ms);
    engine_load out;
    for (const load_sample& s : m_load_history) {
        if (s.at <= cutoff) {
            out = s.load;
        }
    }
    return out;
}

std::uint64_t engine_model::cache_hits() {
    const std::lock_guard lock(m_mutex);
    return m_cache_hits;
}

} // namespace eelgrassdoor::stand_in
