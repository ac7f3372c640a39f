/// \file
/// Defines the settings of a daemon and their parser for flags and environment variables.
#pragma once

#include "base/clock.hpp"
#include "settings/finding.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassdoor::settings {

/// The validated settings of one daemon.
struct daemon_settings {
    std::string host;
    std::string availability_zone;
    /// The IP address on which the daemon listens and at which peers reach it.
    std::string address = "127.0.0.1";
    int http_port = 0;
    int peer_port = 0;
    /// The base URL of the key-value service, for example `http://127.0.0.1:2379`.
    std::string platform_url;
    /// Peer endpoints `address:port` to contact when the platform is unreachable at startup.
    std::vector<std::string> seed_peers;
    /// The shared secret of the daemons, at least 16 characters.
    std::string peer_secret;
    /// SHA-256 digest of the operator key in hexadecimal; the key itself is not stored.
    std::string operator_key_digest;
    /// Directory for batch data; empty on a host that stores none.
    std::string data_dir;
    /// Timeline file to append to; empty for none.
    std::string timeline_path;
    /// File of the endpoints whose messages are dropped, in the format of peer::drop_list; empty
    /// for none (tests only).
    std::string drop_list_path;
    /// Minimum severity to log: info, warning or error.
    std::string log_severity = "warning";
    milliseconds gossip_interval{500};
    /// Time for which the daemon keeps listening after shutdown begins.
    milliseconds drain_time{10'000};
    /// Maximum number of concurrent caller connections.
    int max_callers = 512;
    /// Memory for the bodies of requests that callers, operators and peers send, in MiB.
    int body_memory_mib = 1024;
    /// Limit on calls per second to the key-value service.
    int kv_calls_per_second = 20;
};

/// The command line asked for information (--help or --version) instead of a start.
struct information_request {
    /// The text to print.
    std::string text;
};

/// Valid settings, information to print, or all faults of the settings.
using parse_outcome = std::variant<daemon_settings, information_request, std::vector<finding>>;

/// Parses the settings from flags and the environment variables EELGRASSDOOR_*; a flag takes
/// precedence over the environment.
/// \param arguments the command line without the program name.
/// \param environment entries of the form `NAME=VALUE`.
parse_outcome parse_daemon_settings(std::span<const std::string> arguments,
                                    std::span<const std::string> environment);

} // namespace eelgrassdoor::settings
