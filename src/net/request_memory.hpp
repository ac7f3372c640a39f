/// \file
/// Defines the memory that the requests of several servers share, and which of them gives way when
/// it is short. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

namespace eelgrassdoor::net {

class request_claim;

/// Memory that requests hold from their first byte until their response has been sent. When it is
/// short, requests that have not arrived completely give way, the one that began first before
/// others. Not thread-safe; must outlive its claims.
class request_memory {
public:
    /// Bytes that a request may always hold, so that large requests never keep out small ones. The
    /// servers' limits of connections bound their sum.
    static constexpr std::size_t free_bytes = 8UL * 1024;

    explicit request_memory(std::size_t bytes) : m_bytes(bytes) {}
    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    /// Called with the time at which a request began that gives way, and with the bytes it held.
    std::function<void(time_point began_at, std::size_t bytes)> on_yield = [](time_point,
                                                                              std::size_t) {};

    /// Bytes that requests hold.
    [[nodiscard]] std::size_t reserved() const { return m_reserved; }
    /// Number of requests that gave way.
    [[nodiscard]] std::uint64_t yielded() const { return m_yielded; }
    /// Number of claims that were refused.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    friend class request_claim;

    /// Makes incomplete requests but \p claimant give way until \p bytes more are left. Returns
    /// whether they are, or whether no other request holds more than free_bytes.
    bool make_room(const request_claim& claimant, std::size_t bytes);

    std::size_t m_bytes;
    std::size_t m_reserved = 0;
    std::uint64_t m_yielded = 0;
    std::uint64_t m_refused = 0;
    std::set<request_claim*> m_claims;
};

/// What one request holds; given back by the destructor.
class request_claim {
public:
    /// Without \p memory nothing is limited. \p yield is called at most once, when the request
    /// gives way; it must free what the request holds, and must not destroy the claim.
    request_claim(request_memory* memory, time_point began_at, std::function<void()> yield);
    ~request_claim();
    request_claim(const request_claim&) = delete;
    request_claim& operator=(const request_claim&) = delete;

    /// Adapts the claim to a request of \p bytes. Returns false and changes nothing when there is
    /// no room for it, or when the request has given way.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Like resize() for a request that has arrived completely: it never gives way from now on.
    [[nodiscard]] bool complete(std::size_t bytes);
    /// Whether the request has given way.
    [[nodiscard]] bool has_yielded() const { return m_yielded; }

private:
    friend class request_memory;

    request_memory* m_memory;
    time_point m_began_at;
    std::function<void()> m_yield;
    std::size_t m_held = 0;
    bool m_incomplete = true;
    bool m_yielded = false;
};

} // namespace eelgrassdoor::net
