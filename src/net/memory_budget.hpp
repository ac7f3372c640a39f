/// \file
/// Defines the limit of the memory that a process holds for messages. Performs no I/O.
#pragma once

#include <cstddef>

namespace eelgrassdoor::net {

/// Memory that several messages share. Not thread-safe; must outlive its reservations.
class memory_budget {
public:
    explicit memory_budget(std::size_t bytes) : m_left(bytes) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Bytes that are not reserved.
    [[nodiscard]] std::size_t left() const { return m_left; }

private:
    friend class memory_reservation;
    std::size_t m_left;
};

/// The part of a budget that one message holds; given back by the destructor.
class memory_reservation {
public:
    /// Bytes that every message may hold without a reservation, so that large messages never keep
    /// out small ones.
    static constexpr std::size_t free_bytes = 64UL * 1024;

    /// Without a budget nothing is limited.
    explicit memory_reservation(memory_budget* budget = nullptr) : m_budget(budget) {}
    ~memory_reservation() { (void)resize(0); }
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;

    /// Adapts the reservation to a message of \p bytes. Returns false and changes nothing when the
    /// budget has too little left.
    [[nodiscard]] bool resize(std::size_t bytes);

private:
    memory_budget* m_budget;
    std::size_t m_reserved = 0;
};

} // namespace eelgrassdoor::net
