/// \file
/// Defines the directory of the daemons in the fleet. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "fleet/member.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

using member_map = std::map<std::string, member, std::less<>>;

/// Holds the registered daemons and those whose registration has lapsed recently. A daemon that
/// loses its connection to the key-value service loses its registration but keeps serving callers
/// with its share of the rate limits, so it still receives load digests and remains an active
/// member. Ownership of jobs ends with the registration. Not thread-safe.
class member_directory {
public:
    /// How long a daemon remains an active member after its registration has ended or it was last
    /// heard, whichever is later. Longer than the network partitions of normal operation.
    static constexpr duration lapsed_retention = seconds(15);

    /// Replaces the set of registered daemons. Those that are no longer in it become lapsed.
    void set_registered(const std::vector<member>& members, time_point now);
    /// Extends the retention of a lapsed daemon from which a digest arrived. Ignores unknown hosts.
    void record_heard(std::string_view host, time_point now);
    /// Drops a lapsed daemon that has announced its shutdown.
    void forget(std::string_view host) { m_lapsed.erase(std::string(host)); }

    [[nodiscard]] const member_map& registered() const { return m_registered; }
    /// Returns the registered daemons and the lapsed ones whose retention has not expired.
    [[nodiscard]] member_map active_members(time_point now) const;
    /// Whether \p host is registered, or lapsed within its retention.
    [[nodiscard]] bool knows(std::string_view host, time_point now) const;
    /// Whether \p host is a registered or lapsed daemon in \p availability_zone.
    [[nodiscard]] bool is_in_zone(std::string_view host, std::string_view availability_zone) const;

private:
    struct lapsed_member {
        member record;
        time_point until{};
    };

    member_map m_registered;
    std::map<std::string, lapsed_member, std::less<>> m_lapsed;
};

} // namespace eelgrassdoor::fleet
