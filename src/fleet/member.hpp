/// \file
/// Defines the registration record of a daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// The record that a daemon keeps in the key-value service under a lease.
struct member {
    std::string host;
    std::string availability_zone;
    /// `IP:PORT` for datagrams and calls between daemons.
    std::string endpoint;
    /// Start time of the process in Unix milliseconds; tells two runs on one host apart but does
    /// not order them, since the host's clock may have been set back between them.
    std::uint64_t incarnation = 0;
    /// Whether the daemon admits callers' requests.
    bool serves_callers = false;
    /// Whether the daemon can hold customers' tokens for others. Builds before this field divide
    /// the rates over all daemons and answer no token_acquire.
    bool holds_tokens = false;
    /// Whether the daemon can issue permits for limited targets; builds before this field do not
    /// know of limits.
    bool issues_permits = false;
    /// Whether the daemon can keep the versions that began streams for others; builds before this
    /// field discard the datagrams.
    bool keeps_stream_versions = false;
    /// Whether the daemon sends requests to targets for daemons that reach none; builds before this
    /// field answer such calls with 404.
    bool relays_requests = false;
    /// Whether the daemon may own and run batch jobs.
    bool runs_jobs = false;

    bool operator==(const member&) const = default;
};

/// Key prefix of all registration records.
inline constexpr std::string_view member_prefix = "egd/members/";

std::string member_key(std::string_view host);
std::string to_json(const member& record);
/// Returns nothing when \p text is malformed or a field is missing.
std::optional<member> member_from_json(std::string_view text);

} // namespace eelgrassdoor::fleet
