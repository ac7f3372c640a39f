/// \file
/// Defines what a request demands of the target that is picked for it.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace eelgrassdoor::routing {

/// Restricts the targets of a service that may be picked. Without any member set, all may be.
struct target_constraints {
    /// Ids of targets that are not picked.
    std::set<std::string, std::less<>> excluded;
    /// When set, only targets of this software version are picked. The empty version is one like
    /// any other: that of targets whose entry names none.
    std::optional<std::string> version;
};

} // namespace eelgrassdoor::routing
