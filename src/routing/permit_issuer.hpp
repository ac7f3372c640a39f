/// \file
/// Defines which daemon issues the permits for a limited target, and how many. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/token_bucket.hpp"
#include "routing/work_kind.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::routing {

/// A daemon that can issue permits.
struct issuing_daemon {
    std::string host;
    std::string availability_zone;
    /// Whether the daemon was heard recently; always true for the local one.
    bool is_heard = false;

    bool operator==(const issuing_daemon&) const = default;
};

/// A target that limits its requests.
struct limited_target {
    std::string_view id;
    std::string_view availability_zone;
    /// The requests per second that it takes from all daemons together.
    double requests_per_second = 0;
};

/// Issues the permits that requests to limited targets need. The load pattern that it is meant for
/// is a target in need whose small limit, a few requests per second, is shared by many daemons with
/// uneven traffic: equal parts of it would be less than one request each, and most would go unused.
///
/// Each target has one issuer, by rendezvous hashing over the daemons of its availability zone that
/// are heard, so that a zone that is cut off goes on using its targets. It fills one bucket, from
/// which requests of all daemons draw. A daemon that hears only some daemons of the zone issues the
/// part of the limit that is due to these. When it hears none of them, a daemon of another zone
/// issues part of the limit: those of the zone may be dead, or cut off and issue permits
/// themselves. A new issuer begins with an empty bucket and after growth_delay, when the previous
/// one has given up. Not thread-safe.
class permit_issuer {
public:
    /// How long after a change of the daemons a new bucket begins to fill: the longest difference
    /// between the times at which two daemons find that they no longer hear a third one.
    static constexpr duration growth_delay = milliseconds(750);
    /// The part of the limit that daemons of other zones issue when those of the target's zone are
    /// silent.
    static constexpr double substitute_part = 0.5;

    /// The outcome of take().
    struct verdict {
        /// Whether a permit was taken.
        bool granted = false;
        /// When another one is likely to be available, from now; set only if none was taken.
        duration wait{};
    };

    /// Sets the daemons of the fleet, the local one included if it can issue permits.
    void set_daemons(std::vector<issuing_daemon> daemons, std::string_view own_host,
                     time_point now);
    /// Drops all buckets, because another daemon may have issued permits while this one did not
    /// run.
    void reset(time_point now);
    /// The host that issues the permits for \p target; empty when no daemon is heard. Valid until
    /// set_daemons().
    [[nodiscard]] std::string_view issuer_of(const limited_target& target) const;
    /// Takes a permit for one request to \p target. Batch work leaves half of the bucket to online
    /// requests. Fails when this daemon is not the issuer.
    verdict take(const limited_target& target, work_kind kind, time_point now);

private:
    /// The issuer of a target and the part of the limit that it issues.
    struct assignment {
        const issuing_daemon* issuer = nullptr;
        double part = 0;
    };
    struct bucket_state {
        std::string availability_zone;
        limits::token_bucket bucket;
    };

    [[nodiscard]] assignment assignment_of(std::string_view id, std::string_view zone) const;
    [[nodiscard]] bool is_own(const assignment& assigned) const {
        return assigned.issuer != nullptr && assigned.issuer->host == m_own_host;
    }

    std::vector<issuing_daemon> m_daemons;
    std::string m_own_host;
    time_point m_changed_at = time_point::min();
    /// Of the targets whose issuer this daemon is, by target id.
    std::map<std::string, bucket_state, std::less<>> m_buckets;
};

} // namespace eelgrassdoor::routing
