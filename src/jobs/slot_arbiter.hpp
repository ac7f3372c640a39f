/// \file
/// Defines when a daemon may start a batch item in a slot that has become free. Pure: no I/O.
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

/// All daemons that run jobs see a free slot at about the same time, and hear of each other's
/// starts later. So each has a rank at each target, those of the target's zone first, and takes a
/// slot when it has been free for one news time for each daemon up to its own rank: then it has
/// heard whether one before it has taken the slot. A slot that online requests take again within
/// one news time is not used at all.
class start_turns {
public:
    /// Takes in the daemons that run jobs, and how long a change of load takes to be known to all
    /// of them.
    void configure(std::vector<job_daemon> daemons, std::string_view own_host, duration news_time);

    /// Whether an item may start at \p target, which has \p free slots as far as is known.
    bool may_start(const routing::fleet_target& target, int free, time_point now);
    /// An item is started there.
    void note_started(std::string_view target);
    /// Begins a round of may_start() over all targets.
    void begin_round() { m_next_turn = time_point::max(); }
    /// When the first slot that was refused in this round may be taken.
    [[nodiscard]] time_point next_turn() const { return m_next_turn; }

private:
    /// The place of this daemon in the order of those that may use \p target.
    [[nodiscard]] std::size_t rank_at(const routing::fleet_target& target) const;

    struct target_slots {
        std::size_t rank = 0;
        /// The order of daemons for which the rank was worked out.
        std::uint64_t order = 0;
        /// Since when each of its slots is free, the longest first.
        std::vector<time_point> free_since;
    };

    std::vector<job_daemon> m_daemons;
    std::string m_own_host;
    duration m_news_time{};
    /// Counts changes of the daemons.
    std::uint64_t m_order = 1;
    /// Several times the 870 targets of the design size, as entries of those that are gone stay.
    bounded_map<target_slots> m_targets{4096};
    time_point m_next_turn = time_point::max();
};

} // namespace eelgrassdoor::jobs
