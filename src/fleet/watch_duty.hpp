/// \file
/// Defines which daemons watch the key-value service themselves. Pure: no I/O.
#pragma once

#include "fleet/directory.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// The daemon of a zone that watches for all others there, by rendezvous over the registered
/// daemons; empty when the zone has none. The store counts each watch, so calls grow with the
/// zones and not with the daemons.
std::string zone_delegate(const member_map& registered, std::string_view availability_zone);

/// Whether this daemon has to watch: because it is its zone's delegate, or because it does not hear
/// enough delegates that reach the store to be sure of news in time.
/// \param hears_with_store whether a daemon was heard lately and said that it reaches the store.
bool must_watch(const member_map& registered, const member& self,
                const std::function<bool(std::string_view host)>& hears_with_store);

} // namespace eelgrassdoor::fleet
