#include "net/memory_budget.hpp"

#include <utility>

namespace eelgrassdoor::net {

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : m_budget(other.m_budget), m_reserved(std::exchange(other.m_reserved, 0)) {}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept {
    if (this != &other) {
        (void)resize(0);
        m_budget = other.m_budget;
        m_reserved = std::exchange(other.m_reserved, 0);
    }
    return *this;
}

bool memory_reservation::resize(std::size_t bytes) {
    if (m_budget == nullptr) {
        return true;
    }
    const std::size_t wanted = bytes > free_bytes ? bytes - free_bytes : 0;
    const std::size_t available = m_budget->m_left + m_reserved;
    if (wanted > available) {
        return false;
    }
    m_budget->m_left = available - wanted;
    m_reserved = wanted;
    return true;
}

} // namespace eelgrassdoor::net
