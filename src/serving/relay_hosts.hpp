/// \file
/// Defines which daemons relay the requests of a daemon that reaches no target. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "fleet/member_directory.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::serving {

/// Orders the daemons that can relay a request. Those that recently could not come last, because
/// they may be partitioned as well; the others are drawn at random, so that none of them has to
/// carry all requests of a zone. Not thread-safe.
class relay_hosts {
public:
    /// How long a daemon that could not relay a request is tried last.
    static constexpr duration avoidance_time = seconds(2);

    /// The daemons among \p members to try, the best first. \p is_heard tells whether a daemon was
    /// heard recently; the others are left out, and \p self is.
    [[nodiscard]] std::vector<fleet::member>
    order(const fleet::member_map& members, std::string_view self,
          const std::function<bool(std::string_view host)>& is_heard, time_point now,
          random_source& random) const;
    /// Records that \p host could not relay a request.
    void avoid(std::string_view host, time_point now);

private:
    std::map<std::string, time_point, std::less<>> m_avoided_until;
};

} // namespace eelgrassdoor::serving
