/// \file
/// Defines how a daemon is known to the others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// What a daemon registers in the key-value service under a lease.
struct member {
    std::string host;
    std::string availability_zone;
    /// `IP:PORT` for datagrams and calls between daemons.
    std::string endpoint;
    /// Set anew at each start, in Unix milliseconds.
    std::uint64_t incarnation = 0;
    bool serves_callers = false;
    bool runs_jobs = false;

    bool operator==(const member&) const = default;
};

/// The prefix of all members' keys.
inline constexpr std::string_view member_prefix = "egd/members/";

std::string member_key(std::string_view host);
std::string to_json(const member& record);
std::optional<member> member_from_json(std::string_view text);

} // namespace eelgrassdoor::fleet
