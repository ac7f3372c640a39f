/// \file
/// Defines the settings of a daemon and how they are read from flags and environment.
#pragma once

#include "base/clock.hpp"
#include "settings/finding.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::settings {

/// The checked settings of one daemon.
struct daemon_settings {
    std::string host;
    std::string availability_zone;
    /// The IP number on which the daemon listens and under which peers reach it.
    std::string address = "127.0.0.1";
    int http_port = 0;
    int peer_port = 0;
    /// The base URL of the key-value service, for example `http://127.0.0.1:2379`.
    std::string platform_url;
    /// Peer endpoints `address:port` to ask when the platform cannot be reached at the start.
    std::vector<std::string> seed_peers;
    /// The shared secret of the daemons, at least 16 characters.
    std::string peer_secret;
    /// Digest of the operator key; raw operator keys are never kept.
    std::string operator_key_digest;
    /// Folder for bulk data; empty on a host that keeps none.
    std::string data_dir;
    std::string timeline_path;
    /// File with one peer `address:port` a line whose messages are dropped (tests only).
    std::string drop_list_path;
    std::string log_severity = "warning";
    milliseconds gossip_interval{500};
    milliseconds drain_time{10'000};
    int max_callers = 512;
    int kv_calls_per_second = 20;
};

/// What a command line asked for besides running: the text to print.
struct information_request {
    std::string text;
};

/// Settings, a text to print, or the findings that prevent the start.
using parse_outcome = std::variant<daemon_settings, information_request, std::vector<finding>>;

/// Reads flags, then the environment variables EELGRASSDOOR_*; a flag wins over the environment.
/// \param environment entries of the form `NAME=VALUE`.
parse_outcome parse_daemon_settings(std::span<const std::string> arguments,
                                    std::span<const std::string> environment);

} // namespace eelgrassdoor::settings
