/// \file
/// Defines when a group of daemons is told what has changed. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <cstddef>
#include <vector>

namespace eelgrassdoor::fleet {

/// How often a group of daemons is told.
struct send_intervals {
    /// Changes of load are told at most this often to a group of up to peers_at_full_rate daemons,
    /// and less often to a larger one, so that what a daemon sends does not grow with the fleet. A
    /// third of the time in which a slot frees in a full fleet of the first users' size.
    duration change = milliseconds(30);
    std::size_t peers_at_full_rate = 24;
    /// What has not changed is repeated this often.
    duration repeat = milliseconds(500);
};

/// Daemons that are told changes equally often: those of the own zone, or all others.
class peer_group {
public:
    explicit peer_group(send_intervals intervals) : m_intervals(intervals) {}

    std::vector<net::udp::endpoint> endpoints;

    void note_change() { m_changed = true; }
    /// The change is told in another way.
    void clear_change() { m_changed = false; }
    [[nodiscard]] bool has_change() const { return m_changed; }
    /// The least time between two changes that the group is told.
    [[nodiscard]] duration change_interval() const;
    /// Whether the group is to be told now; then it counts as told.
    [[nodiscard]] bool mark_sent_if_due(time_point now);

private:
    send_intervals m_intervals;
    bool m_changed = true;
    time_point m_sent_at{};
};

} // namespace eelgrassdoor::fleet
