/// \file
/// Defines the memory that the responses of several servers share until their clients have read
/// them, and which response gives way when it is short. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace eelgrassdoor::net {

class outgoing_claim;

/// Whom a response is for, as logs name it.
struct response_label {
    /// Id of the request.
    std::string id;
    std::string customer;
};

/// A response that gave way.
struct yielded_response {
    response_label label;
    /// How long it was being sent.
    duration unread_for{};
    /// Bytes that it held.
    std::size_t held_bytes = 0;
    /// Bytes that its client has taken meanwhile.
    std::size_t taken_bytes = 0;
};

/// Memory of responses from the time their size is known until they have been sent. When it is
/// short, the response of which its client takes the smallest part in a second gives way. Not
/// thread-safe; must outlive its claims.
class outgoing_memory {
public:
    /// Bytes that a response may always hold, so that large responses never keep out small ones.
    /// The servers' limits of connections bound their sum.
    static constexpr std::size_t free_bytes = 8UL * 1024;

    outgoing_memory(std::size_t bytes, clock_fn clock)
        : m_bytes(bytes), m_clock(std::move(clock)) {}
    outgoing_memory(const outgoing_memory&) = delete;
    outgoing_memory& operator=(const outgoing_memory&) = delete;

    /// Called for each response that gives way.
    std::function<void(const yielded_response&)> on_yield = [](const yielded_response&) {};

    /// Bytes that responses hold.
    [[nodiscard]] std::size_t reserved() const { return m_reserved; }
    /// Number of responses that gave way.
    [[nodiscard]] std::uint64_t yielded() const { return m_yielded; }
    /// Number of reservations that were refused.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    friend class outgoing_claim;

    /// Makes responses but that of \p claimant give way until \p bytes more are left. Returns
    /// whether they are, or whether no other response holds more than free_bytes.
    bool make_room(const outgoing_claim& claimant, std::size_t bytes);

    std::size_t m_bytes;
    clock_fn m_clock;
    std::size_t m_reserved = 0;
    /// Sum of the sizes that were announced and are not reserved yet.
    std::size_t m_expected = 0;
    /// Number of claims that hold more than free_bytes.
    std::size_t m_large = 0;
    std::uint64_t m_yielded = 0;
    std::uint64_t m_refused = 0;
    /// Claims of responses that are being sent; the large ones may give way.
    std::set<outgoing_claim*> m_sending;
};

/// What the response to one request holds; given back by the destructor.
class outgoing_claim {
public:
    /// What the owner of a claim does for it.
    struct callbacks {
        /// Returns how many bytes the client has taken over its connection so far.
        std::function<std::size_t()> taken_bytes;
        /// Ends the response, which frees what it holds. Called at most once; must not destroy the
        /// claim.
        std::function<void()> yield;
    };

    /// Without \p memory nothing is limited.
    outgoing_claim(outgoing_memory* memory, callbacks owner);
    ~outgoing_claim();
    outgoing_claim(const outgoing_claim&) = delete;
    outgoing_claim& operator=(const outgoing_claim&) = delete;

    /// Whom the response is for.
    response_label label;

    /// Returns how large a response should be that can have any size from \p min to \p max bytes:
    /// a small part of what is left, so that many have room beside each other. Announces it, which
    /// makes others smaller, but reserves nothing.
    std::size_t expect(std::size_t min, std::size_t max);
    /// Reserves memory for a response of \p bytes that is not being sent yet. Returns false and
    /// changes nothing when there is no room for it. A response beside which no other one is large
    /// has room.
    [[nodiscard]] bool reserve(std::size_t bytes);
    /// The response, or a part of it with \p bytes, is being sent from now on, and may give way.
    /// Memory that it already holds is never refused.
    void begin_sending(std::size_t bytes);
    /// The part has been sent; nothing is held any more.
    void end_sending();
    /// Whether the response has given way.
    [[nodiscard]] bool has_yielded() const { return m_yielded; }
    /// The part of the response that its client takes in a second, on average since it began;
    /// nothing while no response is being sent, or for less than \p min_time.
    [[nodiscard]] std::optional<double> reading_rate(duration min_time) const;
    /// Lets the response that is being sent give way, for a reason other than memory.
    void yield() { yield(m_memory->m_clock()); }

private:
    friend class outgoing_memory;

    void set_expected(std::size_t bytes);
    void hold(std::size_t bytes);
    [[nodiscard]] bool is_large() const { return m_held > outgoing_memory::free_bytes; }
    [[nodiscard]] double reading_rate_at(time_point now) const;
    [[nodiscard]] std::size_t taken() const;
    void yield(time_point now);

    outgoing_memory* m_memory;
    callbacks m_owner;
    std::size_t m_held = 0;
    std::size_t m_expected = 0;
    time_point m_sending_since;
    /// taken_bytes() when sending began.
    std::size_t m_taken_before = 0;
    bool m_sending = false;
    bool m_yielded = false;
};

} // namespace eelgrassdoor::net
