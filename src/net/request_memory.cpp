#include "net/request_memory.hpp"

#include <utility>

namespace eelgrassdoor::net {

bool request_memory::make_room(const request_claim& claimant, std::size_t bytes) {
    while (m_reserved + bytes > m_bytes) {
        request_claim* first = nullptr;
        bool is_alone = true;
        for (request_claim* each : m_claims) {
            if (each == &claimant || each->m_held <= free_bytes) {
                continue;
            }
            is_alone = false;
            if (each->m_incomplete && (first == nullptr || each->m_began_at < first->m_began_at)) {
                first = each;
            }
        }
        if (first == nullptr) {
            return is_alone;
        }
        const std::size_t held = std::exchange(first->m_held, 0);
        m_reserved -= held;
        ++m_yielded;
        first->m_incomplete = false;
        first->m_yielded = true;
        first->m_yield();
        on_yield(first->m_began_at, held);
    }
    return true;
}

request_claim::request_claim(request_memory* memory, time_point began_at,
                             std::function<void()> yield)
    : m_memory(memory), m_began_at(began_at), m_yield(std::move(yield)) {
    if (m_memory != nullptr) {
        m_memory->m_claims.insert(this);
    }
}

request_claim::~request_claim() {
    if (m_memory != nullptr) {
        m_memory->m_reserved -= m_held;
        m_memory->m_claims.erase(this);
    }
}

bool request_claim::resize(std::size_t bytes) {
    if (m_memory == nullptr) {
        return true;
    }
    if (m_yielded) {
        return false;
    }
    const bool fits = bytes <= m_held || bytes <= request_memory::free_bytes ||
                      m_memory->make_room(*this, bytes - m_held);
    if (!fits) {
        ++m_memory->m_refused;
        return false;
    }
    m_memory->m_reserved += bytes;
    m_memory->m_reserved -= m_held;
    m_held = bytes;
    return true;
}

bool request_claim::complete(std::size_t bytes) {
    if (!resize(bytes)) {
        return false;
    }
    m_incomplete = false;
    return true;
}

} // namespace eelgrassdoor::net
