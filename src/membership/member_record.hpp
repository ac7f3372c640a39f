/// \file
/// Defines what daemons tell of themselves and of each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::membership {

/// A slot of the limit record that a daemon holds: see limits/slot_record.hpp.
struct held_slot {
    std::uint16_t slot = 0;
    std::uint64_t epoch = 0;

    bool operator==(const held_slot&) const = default;
};

/// What one daemon says of itself. Soft state: it may be wrong at any time.
struct member_record {
    std::string host;
    std::string availability_zone;
    std::string address;
    std::uint16_t http_port = 0;
    std::uint16_t peer_port = 0;
    /// Set anew at each start; a higher one replaces a lower one.
    std::uint64_t incarnation = 0;
    /// Grows with each gossip round of the daemon itself.
    std::uint64_t heartbeat = 0;
    /// Grows when anything below changes. Heartbeats also travel alone, so they do not tell which
    /// of two records is newer.
    std::uint64_t revision = 0;
    bool leaving = false;
    /// Whether the daemon reached the key-value service lately.
    bool platform_reachable = false;
    /// Whether the daemon keeps bulk data.
    bool has_spool = false;
    std::uint64_t config_version = 0;
    std::uint64_t host_list_version = 0;
    std::vector<held_slot> slots;

    bool operator==(const member_record&) const = default;

    /// `address:port` of the daemon's peer socket.
    [[nodiscard]] std::string peer_endpoint() const {
        return address + ":" + std::to_string(peer_port);
    }
};

/// Says that one incarnation of a daemon was alive; far smaller than its record.
struct heartbeat_digest {
    /// digest_key() of the daemon.
    std::uint64_t member_key = 0;
    std::uint32_t heartbeat = 0;
};

/// Names a host's incarnation in digests.
std::uint64_t digest_key(const member_record& record);

enum class member_status { live, suspected, leaving, gone };

} // namespace eelgrassdoor::membership
