/// \file
/// Defines when a daemon may start a batch item in a slot that has become free. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/fleet_load.hpp"

#include <cstddef>
#include <map>
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
/// slot only after it has been free for longer than the daemons before it would have needed. A slot
/// that online requests take again at once is not used at all.
class start_turns {
public:
    /// Takes in the daemons that run jobs, and how long a change of load takes to be known.
    void configure(std::vector<job_daemon> daemons, std::string_view own_host, duration news_time);

    /// Whether an item may start at \p target, which has \p free slots as far as is known.
    bool may_start(const routing::fleet_target& target, int free, time_point now);
    /// An item is started there.
    void note_started(std::string_view target);
    /// When the next slot that is free now may be taken.
    [[nodiscard]] time_point next_turn() const { return m_next_turn; }
    void forget_next_turn() { m_next_turn = time_point::max(); }

private:
    /// The place of this daemon in the order of those that may use \p target.
    [[nodiscard]] std::size_t rank_at(const routing::fleet_target& target) const;

    struct target_slots {
        std::size_t rank = 0;
        bool ranked = false;
        /// Since when each of its slots is free, the longest first.
        std::vector<time_point> free_since;
    };

    std::vector<job_daemon> m_daemons;
    std::string m_own_host;
    duration m_news_time{};
    std::map<std::string, target_slots, std::less<>> m_targets;
    time_point m_next_turn = time_point::max();
};

} // namespace eelgrassdoor::jobs
