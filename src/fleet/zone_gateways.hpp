/// \file
/// Defines which daemons forward digests between availability zones. Does no I/O.
#pragma once

#include "fleet/member_directory.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Ranks the daemons of each zone. The highest-ranked ones that are heard are the gateways of the
/// zone: they forward its digests to the gateways of the other zones and distribute those that they
/// receive from there. Daemons may temporarily disagree on the gateways; digests carry sequence
/// numbers, so duplicates have no effect. Not thread-safe.
class zone_gateways {
public:
    /// Number of gateways per zone. When one fails unnoticed, the other still forwards.
    static constexpr std::size_t gateways_per_zone = 2;

    using is_heard_fn = std::function<bool(std::string_view host)>;

    /// Replaces the set of daemons and ranks them.
    void set_members(const member_map& members);

    /// Returns up to gateways_per_zone daemons of \p zone for which \p is_heard is true; empty if
    /// there are none.
    [[nodiscard]] std::vector<member> gateways_of(std::string_view zone,
                                                  const is_heard_fn& is_heard) const;
    /// Returns the daemon to which attempt number \p attempt to reach a zone without heard daemons
    /// is sent; successive attempts rotate through all daemons of \p zone. Null if it has none.
    /// Valid until set_members().
    [[nodiscard]] const member* probe_candidate(std::string_view zone, std::size_t attempt) const;
    /// The names of all zones with members.
    [[nodiscard]] std::vector<std::string> zones() const;

private:
    /// Daemons by zone, in rank order. Those that do not serve callers come first, because they
    /// have CPU time to spare.
    std::map<std::string, std::vector<member>, std::less<>> m_ranked;
};

/// Returns those of the \p remote gateways to which one local gateway sends. The shares of all
/// local gateways cover each remote gateway.
/// \param local_index index of the local gateway, from 0
/// \param gateways number of local gateways
std::vector<member> assigned_gateways(const std::vector<member>& remote, std::size_t local_index,
                                      std::size_t gateways);

} // namespace eelgrassdoor::fleet
