/// \file
/// Defines how a sender tells a path that is dead from a peer that reads slowly. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <optional>

namespace eelgrassdoor::net {

/// What the kernel knows of the sending side of a connection.
struct send_state {
    /// Whether segments or window probes are on their way that the peer's host has not
    /// acknowledged.
    bool awaits_acknowledgement = false;
    /// Number of bytes that the peer's host has acknowledged so far.
    std::size_t acknowledged_bytes = 0;
    /// Time since the latest acknowledgement, also one of no new bytes; nothing if the kernel does
    /// not tell.
    std::optional<duration> since_acknowledgement;
};

/// Watches a connection with bytes that are not acknowledged. A peer that leaves bytes unread shuts
/// its window, but its host goes on to acknowledge probes; on a dead path nothing is acknowledged.
/// TCP_USER_TIMEOUT does not tell them apart, as it ends connections with a shut window, too.
class path_watch {
public:
    /// How often the state should be recorded while there are unacknowledged bytes.
    static constexpr duration interval = milliseconds(500);

    /// Records the state at \p now. Returns whether the path is dead: nothing has been acknowledged
    /// for as long as the platform gives a host to notice it.
    [[nodiscard]] bool is_dead(const send_state& state, time_point now);

private:
    /// Since when an acknowledgement is waited for, and what had been acknowledged then.
    std::optional<time_point> m_waiting_since;
    std::size_t m_acknowledged = 0;
};

} // namespace eelgrassdoor::net
