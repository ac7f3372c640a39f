/// \file
/// Defines the notice that another daemon has a newer revision of a key prefix.
#pragma once

#include <cstdint>
#include <string>

namespace eelgrassdoor::fleet {

/// A key prefix of which another daemon knows a newer revision than this one.
struct newer_revision {
    /// `IP:PORT` of the daemon that knows it.
    std::string endpoint;
    std::string prefix;
    std::uint64_t revision = 0;
    /// Whether that daemon is registered in the own availability zone.
    bool same_zone = false;
};

} // namespace eelgrassdoor::fleet
