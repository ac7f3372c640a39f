/// \file
/// Defines the choice of the daemon of each zone that watches the key-value service. Does no I/O.
#pragma once

#include "fleet/member_directory.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// Status of a daemon as seen by this one; daemons with a higher value are preferred as delegate.
enum class peer_status {
    /// No digest arrived recently.
    silent,
    /// The daemon is alive but does not reach the key-value service.
    without_store,
    /// The daemon is alive and reaches the key-value service.
    with_store,
};

/// Returns the host of the daemon that watches the key-value service for all of its zone, or an
/// empty string if the zone has no live daemon. Chosen by rendezvous hashing among the daemons that
/// reach the service, or among all live ones if none does. The service counts every watch against
/// the call budget, even a refused one, so the number of calls must grow with the zones and not
/// with the daemons, even in an outage.
/// \param status_of status of a daemon as seen by this one
std::string
select_watch_delegate(const member_map& registered, std::string_view availability_zone,
                      const std::function<peer_status(std::string_view host)>& status_of);

/// Whether \p self, which is this daemon, has to watch the key-value service: it is the delegate of
/// its zone, or no daemon of its zone is known to be alive.
/// \param status_of status of a daemon as seen by this one; also called for the host of \p self
bool must_watch(const member_map& registered, const member& self,
                const std::function<peer_status(std::string_view host)>& status_of);

} // namespace eelgrassdoor::fleet
