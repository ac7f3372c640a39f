/// \file
/// Defines when digests are sent to a group of daemons. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <cstddef>
#include <vector>

namespace eelgrassdoor::fleet {

/// Intervals at which digests are sent to a group of daemons.
struct send_intervals {
    /// Minimum time between two digests with changed load, for a group of up to peers_at_full_rate
    /// daemons. Grows in proportion for a larger group, so that the send rate of a daemon does not
    /// grow with the fleet. A third of the mean time between two slots becoming free in a fully
    /// loaded fleet of the size that the first users run.
    duration change = milliseconds(30);
    std::size_t peers_at_full_rate = 24;
    /// Time after which an unchanged digest is repeated.
    duration repeat = milliseconds(500);
};

/// A set of daemons that receive digests at the same rate: those of the own zone, or those of all
/// other zones. Not thread-safe.
class peer_group {
public:
    explicit peer_group(send_intervals intervals) : m_intervals(intervals) {}

    std::vector<net::udp::endpoint> endpoints;

    /// Records that the digest has changed since the group last received it.
    void mark_changed() { m_changed = true; }
    /// Discards a pending change that reaches the group by another path.
    void clear_change() { m_changed = false; }
    /// Whether a change is pending.
    [[nodiscard]] bool has_change() const { return m_changed; }
    /// The minimum time between two digests with changes, scaled to the size of the group.
    [[nodiscard]] duration change_interval() const;
    /// Whether a digest is due now. If so, records it as sent and clears the pending change.
    [[nodiscard]] bool mark_sent_if_due(time_point now);

private:
    send_intervals m_intervals;
    bool m_changed = true;
    time_point m_sent_at{};
};

} // namespace eelgrassdoor::fleet
