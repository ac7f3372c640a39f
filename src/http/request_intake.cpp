#include "http/request_intake.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace eelgrassdoor::http {

namespace {

/// Requests that yield are released at once, unless their threads get no processor.
constexpr duration max_release_wait = seconds(2);

} // namespace

request_intake::request_intake(std::size_t max_bytes, clock_fn clock)
    : m_max_bytes(max_bytes), m_clock(std::move(clock)) {}

request_intake::entry::entry(request_intake& intake, const void* group, yield_fn yield)
    : m_intake(intake), m_group(group), m_yield(std::move(yield)), m_started_at(intake.m_clock()) {
    const absl::MutexLock lock(&m_intake.m_mutex);
    m_place = m_intake.m_entries.insert(m_intake.m_entries.end(), this);
}

request_intake::entry::~entry() {
    const absl::MutexLock lock(&m_intake.m_mutex);
    m_intake.m_entries.erase(m_place);
    m_intake.m_bytes -= m_bytes;
    m_intake.m_yielding_bytes -= m_yielded ? m_bytes : 0;
}

bool request_intake::entry::add(std::size_t bytes) {
    const absl::MutexLock lock(&m_intake.m_mutex);
    if (m_yielded) {
        return false;
    }
    m_bytes += bytes;
    m_intake.m_bytes += bytes;
    while (m_intake.m_bytes - m_intake.m_yielding_bytes > m_intake.m_max_bytes && !m_yielded) {
        const auto longest =
            std::find_if(m_intake.m_entries.begin(), m_intake.m_entries.end(), [](const entry* e) {
                return !e->m_complete && !e->m_yielded && e->m_bytes > 0;
            });
        if (longest == m_intake.m_entries.end()) {
            break; // Only complete ones are left, and this is the last piece of one of them.
        }
        m_intake.yield(**longest);
    }
    const auto has_room = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return m_yielded || m_intake.m_yielding_bytes == 0 ||
               m_intake.m_bytes <= m_intake.m_max_bytes;
    };
    m_intake.m_mutex.AwaitWithTimeout(absl::Condition(&has_room),
                                      absl::FromChrono(max_release_wait));
    return !m_yielded;
}

void request_intake::entry::complete() {
    const absl::MutexLock lock(&m_intake.m_mutex);
    m_complete = true;
}

bool request_intake::entry::has_yielded() const {
    const absl::MutexLock lock(&m_intake.m_mutex);
    return m_yielded;
}

duration request_intake::entry::age() const {
    return m_intake.m_clock() - m_started_at;
}

void request_intake::free_connections(const void* group, std::size_t count, duration grace) {
    const absl::MutexLock lock(&m_mutex);
    const time_point started_before = m_clock() - grace;
    for (entry* e : m_entries) {
        if (count == 0 || e->m_started_at > started_before) {
            return;
        }
        if (e->m_group == group && !e->m_complete) {
            --count;
            if (!e->m_yielded) {
                yield(*e);
            }
        }
    }
}

void request_intake::yield(entry& e) {
    e.m_yielded = true;
    m_yielding_bytes += e.m_bytes;
    e.m_yield();
}

} // namespace eelgrassdoor::http
