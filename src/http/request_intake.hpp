/// \file
/// Defines the account of the requests that are arriving, and who yields when memory or threads are
/// short.
#pragma once

#include "base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <functional>
#include <list>

namespace eelgrassdoor::http {

/// Why the server refuses a request that is still arriving. None of them has run.
enum class refusal { none, malformed, head_too_large, too_large, encoded, too_slow, crowded };

/// Bounds the memory of request bodies over all servers that share it. Thread-safe.
class request_intake {
public:
    /// Ends reading from a request that yields; runs with the account locked.
    using yield_fn = std::function<void()>;

    /// \param max_bytes of bodies that are held at a time.
    request_intake(std::size_t max_bytes, clock_fn clock);

    /// One request from its first byte until its response has been written.
    class entry {
    public:
        /// \param group separates the connections of different servers.
        entry(request_intake& intake, const void* group, yield_fn yield);
        ~entry();
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

        /// Counts \p bytes more of the body. While there are more than allowed, the incomplete
        /// request that has been arriving longest yields, and this call waits until its memory is
        /// released. False when this one has yielded.
        bool add(std::size_t bytes);
        /// The request has arrived as a whole: it never yields from here on.
        void complete();
        [[nodiscard]] bool has_yielded() const;
        [[nodiscard]] duration age() const;

    private:
        friend class request_intake;

        request_intake& m_intake;
        const void* const m_group;
        const yield_fn m_yield;
        const time_point m_started_at;
        std::size_t m_bytes = 0;
        bool m_complete = false;
        bool m_yielded = false;
        std::list<entry*>::iterator m_place;
    };

    /// Makes up to \p count incomplete requests of \p group yield, longest arriving first, of those
    /// older than \p grace.
    void free_connections(const void* group, std::size_t count, duration grace);

private:
    /// Makes \p e yield; its bytes count until it ends.
    void yield(entry& e) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::size_t m_max_bytes;
    const clock_fn m_clock;
    mutable absl::Mutex m_mutex;
    /// Oldest first.
    std::list<entry*> m_entries ABSL_GUARDED_BY(m_mutex);
    std::size_t m_bytes ABSL_GUARDED_BY(m_mutex) = 0;
    /// The part of m_bytes that yields and is not released yet.
    std::size_t m_yielding_bytes ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace eelgrassdoor::http
