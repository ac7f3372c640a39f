/// \file
/// Defines which daemons a daemon knows. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "fleet/member.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

using member_map = std::map<std::string, member, std::less<>>;

/// The registered daemons, and those whose registration has ended lately. A daemon that is cut off
/// from the key-value service loses its registration but goes on serving callers with its share of
/// the rates, so it is still told the others' load and still counted. What a daemon owns passes on
/// with its registration.
class directory {
public:
    /// How long a daemon counts after its registration has ended, unless it is heard for longer.
    /// Longer than the cuts that a fleet meets on an ordinary day.
    static constexpr duration lapsed_time = seconds(15);

    /// Takes in all registrations. A daemon that registers anew replaces its earlier start.
    void set_registered(const std::vector<member>& members, time_point now);
    /// A daemon was heard; only those that were registered once are kept.
    void note_heard(std::string_view host, time_point now);
    /// A daemon says that it ends.
    void forget(std::string_view host) { m_lapsed.erase(std::string(host)); }

    [[nodiscard]] const member_map& registered() const { return m_registered; }
    /// Registered daemons and those that are still counted.
    [[nodiscard]] member_map reachable(time_point now) const;
    [[nodiscard]] bool knows(std::string_view host, time_point now) const;
    /// Whether a registered or counted daemon is in \p availability_zone.
    [[nodiscard]] bool is_in_zone(std::string_view host, std::string_view availability_zone) const;
    /// Daemons that may admit callers' requests.
    [[nodiscard]] std::size_t fronts(time_point now) const;

private:
    struct lapsed_member {
        member record;
        time_point until{};
    };

    member_map m_registered;
    std::map<std::string, lapsed_member, std::less<>> m_lapsed;
};

} // namespace eelgrassdoor::fleet
