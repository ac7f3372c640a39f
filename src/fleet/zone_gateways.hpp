/// \file
/// Defines which daemons pass digests on between availability zones. Pure: no I/O.
#pragma once

#include "fleet/member_directory.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Ranks the daemons of each zone. The first ones that are heard are the zone's gateways: they
/// collect the digests of their zone for those of the other zones, and spread what these send.
/// Daemons may disagree on them for a while; digests carry sequence numbers, so that one that
/// arrives twice changes nothing.
class zone_gateways {
public:
    /// Gateways of one zone. One that fails silently leaves the other's copies.
    static constexpr std::size_t per_zone = 2;

    using is_heard_fn = std::function<bool(std::string_view host)>;

    void set_members(const member_map& members);

    /// The gateways of \p zone, of those that \p is_heard. Nobody who is heard gives none.
    [[nodiscard]] std::vector<member> of(std::string_view zone, const is_heard_fn& is_heard) const;
    /// One daemon of \p zone, another one for each \p turn: to reach a zone of which nobody is
    /// heard.
    [[nodiscard]] const member* probe(std::string_view zone, std::size_t turn) const;
    [[nodiscard]] std::vector<std::string> zones() const;

private:
    /// By zone: daemons that do not serve callers first, as they have processor time to spare.
    std::map<std::string, std::vector<member>, std::less<>> m_ranked;
};

/// Those of the \p remote gateways that the gateway with number \p own of \p gateways here sends
/// to. Together they send to each once.
std::vector<member> share_of_gateways(const std::vector<member>& remote, std::size_t own,
                                      std::size_t gateways);

} // namespace eelgrassdoor::fleet
