/// \file
/// Defines which daemons watch the key-value service themselves. Pure: no I/O.
#pragma once

#include "fleet/member_directory.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// What a daemon knows of another one.
enum class heard_state {
    /// Nothing was heard lately.
    silent,
    /// It lives but does not reach the key-value service.
    without_store,
    with_store,
};

/// The daemon of a zone that watches for all others there: the first by rendezvous of those that
/// reach the key-value service, or of those that live when none does; empty when the zone has none.
/// The store counts each watch, also a refused one, so calls grow with the zones and not with the
/// daemons, also while it is away.
std::string zone_delegate(const member_map& registered, std::string_view availability_zone,
                          const std::function<heard_state(std::string_view host)>& state_of);

/// Whether this daemon has to watch: because it is its zone's delegate, or because it hears none.
/// \param state_of what is known of a daemon; asked for this one as well.
bool must_watch(const member_map& registered, const member& self,
                const std::function<heard_state(std::string_view host)>& state_of);

} // namespace eelgrassdoor::fleet
