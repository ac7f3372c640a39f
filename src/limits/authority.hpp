/// \file
/// Defines when a limit holder may use its slot. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>

namespace eelgrassdoor::limits {

/// The right to use a slot. A holder that was paused loses it until it has found out, by a
/// question asked after it woke, that nobody took the slot over meanwhile. A takeover needs the
/// host to be silent for the suspicion time, so a pause below max_tick_gap cannot hide one.
class authority {
public:
    /// A gap between two ticks above this bound counts as a pause.
    static constexpr duration max_tick_gap = seconds(1);

    /// Begins to hold \p slot by the record of \p epoch.
    void claim(std::size_t slot, std::uint64_t epoch, time_point now);
    /// Another daemon holds the slot.
    void revoke() { m_slot.reset(); }

    /// Must be called more often than max_tick_gap. Returns whether a pause was just noticed.
    bool tick(time_point now);
    /// Whether the slot may be used. Notices a pause by itself.
    bool may_use(time_point now);
    /// The question asked at \p query_sent_at found the record unchanged in this daemon's favour.
    void confirm(std::uint64_t epoch, time_point query_sent_at);

    /// How many pauses were noticed, by whichever call came first.
    [[nodiscard]] std::uint64_t pauses() const { return m_pauses; }
    [[nodiscard]] bool holds() const { return m_slot.has_value(); }
    [[nodiscard]] bool lapsed() const { return holds() && m_lapsed; }
    [[nodiscard]] std::optional<std::size_t> slot() const { return m_slot; }
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }

private:
    std::optional<std::size_t> m_slot;
    std::uint64_t m_epoch = 0;
    time_point m_last_tick{};
    time_point m_resumed_at{};
    bool m_lapsed = false;
    std::uint64_t m_pauses = 0;
};

} // namespace eelgrassdoor::limits
