/// \file
/// Defines the arbitration of free target slots among daemons without communication. Pure: no I/O.
#pragma once

#include "base/bounded_map.hpp"
#include "base/clock.hpp"
#include "routing/fleet_load.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::jobs {

/// A daemon that runs jobs.
struct job_daemon {
    std::string host;
    std::string availability_zone;

    bool operator==(const job_daemon&) const = default;
};

/// Decides when this daemon may use a free slot of a target. All daemons that run jobs see a free
/// slot at about the same time, but learn of each other's starts only after the propagation delay
/// of load reports. To avoid collisions, every daemon has a rank at each target, with the daemons
/// of the target's availability zone first, and takes a slot only after it has been free for 1 +
/// rank propagation delays, with ranks from 0. By then it knows whether a daemon of a lower rank
/// has taken the slot. A slot that online requests occupy again within one propagation delay is not
/// used. Not thread-safe.
class slot_arbiter {
public:
    /// Sets the live daemons that run jobs, the host of this one, and the time in which a change of
    /// load reaches all of them. Ranks are computed anew when the daemons have changed.
    void configure(std::vector<job_daemon> daemons, std::string_view own_host,
                   duration propagation_delay);

    /// Whether an item may start at \p target, which has \p free slots according to the load known
    /// here. Call it in each round, since it also records since when slots are free.
    bool may_start(const routing::fleet_target& target, int free, time_point now);
    /// Records that an item was started in the slot of \p target that has been free the longest.
    void record_start(std::string_view target);
    /// Begins a round of may_start() calls over all targets and resets next_start_time().
    void begin_round() { m_next_start_time = time_point::max(); }
    /// The earliest time at which a slot refused in this round may be taken; time_point::max() when
    /// none was refused.
    [[nodiscard]] time_point next_start_time() const { return m_next_start_time; }

private:
    /// The rank of this daemon at \p target, from 0; the number of daemons when it is not among
    /// them.
    [[nodiscard]] std::size_t rank_at(const routing::fleet_target& target) const;

    /// State of one target.
    struct target_slots {
        std::size_t rank = 0;
        /// The value of m_ranking_generation for which the rank was computed.
        std::uint64_t ranking_generation = 0;
        /// Since when each free slot has been free, in ascending order.
        std::vector<time_point> free_since;
    };

    std::vector<job_daemon> m_daemons;
    std::string m_own_host;
    duration m_propagation_delay{};
    /// Incremented when the set of daemons changes; ranks of an earlier value are outdated.
    std::uint64_t m_ranking_generation = 1;
    /// Several times the 870 targets of the design size, since entries of removed targets stay.
    bounded_map<target_slots> m_targets{4096};
    time_point m_next_start_time = time_point::max();
};

} // namespace eelgrassdoor::jobs
