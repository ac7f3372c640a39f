/// \file
/// Defines the limit on requests to targets that have just started. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/token_bucket.hpp"
#include "routing/fleet_target.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::routing {

/// What the targets of a service tolerate while they are cold.
struct cold_limit {
    /// How long a target is cold after its start.
    duration cold_time{};
    /// Requests per second to one cold target, from all daemons together; 0 for no limit.
    double requests_per_second = 0;

    bool operator==(const cold_limit&) const = default;
};

/// Cold limits by service.
using cold_limits = std::map<std::string, cold_limit, std::less<>>;

/// A daemon that sends online requests.
struct sending_daemon {
    std::string host;
    std::string availability_zone;

    bool operator==(const sending_daemon&) const = default;
};

/// Limits the requests to cold targets, which crash when they get too many. The load pattern that
/// it is meant for is a zone whose targets return together: every daemon sees them idle at the same
/// moment. The limit holds over the whole fleet without messages: a few daemons are chosen for each
/// target by rendezvous hashing, only these send to it while it is cold, and each has an equal
/// share of the rate. Half of the rate fills the shares and the other half is their burst, so any
/// second admits at most the whole. Daemons that know different members may choose different
/// senders; the limit is then exceeded by at most the shares of the additional ones.
///
/// A target is cold while its entry says so, after its zone was evacuated, and after it could not
/// be reached, until a newer entry says otherwise. Not thread-safe.
class slow_start {
public:
    /// Number of daemons that may send to a cold target: enough that the loss of some leaves it in
    /// use.
    static constexpr std::size_t max_senders = 8;

    /// Sets the limits; services that \p limits does not contain have none.
    void set_limits(cold_limits limits, time_point now);
    /// Sets the daemons that send online requests; \p own_host need not be among them.
    void set_daemons(std::vector<sending_daemon> daemons, std::string_view own_host);

    /// Records an entry that \p target has written, read at \p now.
    void record_entry(const fleet_target& target, time_point now);
    /// Treats \p target as cold for the time in which one that has just started is.
    void mark_cold(const fleet_target& target, time_point now);
    /// Records that target \p id could not be reached: it may be restarting, and its last entry may
    /// be from before.
    void record_unreachable(std::string_view id, time_point now);
    /// Forgets which targets were unreachable, as the cause was elsewhere.
    void forget_unreachable();
    /// Records a response of target \p id.
    void record_response(std::string_view id, time_point now);

    /// Whether \p target is, or may be, cold.
    [[nodiscard]] bool is_cold(const fleet_target& target, time_point now) const;
    /// Whether this daemon may send \p target a request now.
    [[nodiscard]] bool may_send(const fleet_target& target, time_point now);
    /// Counts a request to \p target if it is cold.
    void record_sent(const fleet_target& target, time_point now);

private:
    /// State of one target.
    struct target_state {
        time_point cold_until = time_point::min();
        /// When the latest entry was read.
        time_point entry_read_at = time_point::min();
        /// When the target was last unreachable.
        time_point unreachable_at = time_point::min();
        /// The first response since unreachable_at.
        std::optional<time_point> response_at;
        /// This daemon's share of the limit.
        std::optional<limits::token_bucket> bucket;
        /// The value of m_daemons_generation for which `bucket` was made.
        std::uint64_t daemons_generation = 0;
    };

    /// The limit for \p target, or null when it has none.
    [[nodiscard]] const cold_limit* limit_of(const fleet_target& target) const;
    /// The share of a sender with \p limit; nothing unless this daemon is one of the senders.
    [[nodiscard]] std::optional<limits::bucket_params> own_share(const fleet_target& target,
                                                                 const cold_limit& limit) const;
    /// Creates or drops the bucket of \p state after a change of the daemons.
    void update_bucket(target_state& state, const fleet_target& target, const cold_limit& limit,
                       time_point now);

    cold_limits m_limits;
    /// When the limits were first set. What an earlier run of this daemon has sent is unknown.
    std::optional<time_point> m_configured_at;
    std::vector<sending_daemon> m_daemons;
    std::string m_own_host;
    std::uint64_t m_daemons_generation = 1;
    /// By target id. Entries of targets that are gone stay; they are small, and their number is
    /// bounded by max_known_targets.
    std::map<std::string, target_state, std::less<>> m_states;
};

} // namespace eelgrassdoor::routing
