/// \file
/// Defines when the holder of a slot may grant tokens from it. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace eelgrassdoor::limits {

/// A daemon's right to use one slot. It lapses when the process was paused (for example by SIGSTOP
/// or a suspended virtual machine) and is restored when a query sent after the process resumed
/// shows that no other daemon has claimed the slot. A slot is only taken over from a host that was
/// silent for the suspicion time, so a pause shorter than max_tick_gap cannot hide a takeover.
/// Not thread-safe.
class authority {
public:
    /// A longer gap between two calls of tick() counts as a pause of the process.
    static constexpr duration max_tick_gap = seconds(1);

    /// Starts to hold \p slot, whose claim was written to the slot record with \p epoch.
    void claim(std::size_t slot, std::uint64_t epoch, time_point now);
    /// Gives up the slot, because another daemon claimed it or this one releases it.
    void revoke() { m_slot.reset(); }

    /// Checks for a pause since the last call, and lets the authority lapse if there was one.
    /// Returns whether this call detected a pause. Must be called more often than every
    /// max_tick_gap; otherwise the gap itself counts as a pause.
    bool tick(time_point now);
    /// Whether tokens may be granted at \p now. Calls tick(), so it also detects a pause.
    bool may_use(time_point now);
    /// Records that a query sent at \p query_sent_at found this daemon still holding the slot.
    /// Restores the authority unless the process was paused after the query was sent.
    void confirm(std::uint64_t epoch, time_point query_sent_at);

    /// The number of pauses that tick() and may_use() have detected.
    [[nodiscard]] std::uint64_t pauses() const { return m_pauses; }
    /// Whether a slot is held, lapsed or not.
    [[nodiscard]] bool holds() const { return m_slot.has_value(); }
    /// Whether the slot is held but must not be used until confirm() restores the authority.
    [[nodiscard]] bool lapsed() const { return holds() && m_lapsed; }
    [[nodiscard]] std::optional<std::size_t> slot() const { return m_slot; }
    /// The highest epoch of the slot record that was claimed or confirmed.
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }

private:
    std::optional<std::size_t> m_slot;
    std::uint64_t m_epoch = 0;
    time_point m_last_tick{};
    /// When the last pause was detected.
    time_point m_resumed_at{};
    bool m_lapsed = false;
    std::uint64_t m_pauses = 0;
};

} // namespace eelgrassdoor::limits
