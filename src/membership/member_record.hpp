/// \file
/// Defines the records that daemons exchange by gossip.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::membership {

/// A rate-limit slot that a daemon holds, see limits/slot_record.hpp.
struct held_slot {
    std::uint16_t slot = 0;
    /// The epoch of the slot record by which it is held.
    std::uint64_t epoch = 0;

    bool operator==(const held_slot&) const = default;
};

/// The state that one daemon publishes of itself. Soft state: it may be outdated or wrong.
struct member_record {
    std::string host;
    std::string availability_zone;
    std::string address;
    std::uint16_t http_port = 0;
    std::uint16_t peer_port = 0;
    /// Increases with each start of the daemon; a record with a higher one replaces earlier ones.
    std::uint64_t incarnation = 0;
    /// Incremented by the daemon in each of its gossip rounds.
    std::uint64_t heartbeat = 0;
    /// Incremented when any field other than heartbeat changes. Heartbeats are also sent without
    /// the record, so they do not tell which of two records is newer.
    std::uint64_t revision = 0;
    bool leaving = false;
    /// Whether the daemon has reached the key-value service recently.
    bool platform_reachable = false;
    /// Whether the daemon has a data directory for bulk data.
    bool has_spool = false;
    /// The version of the configuration in force at the daemon.
    std::uint64_t config_version = 0;
    /// The version of the platform's host list that the daemon has.
    std::uint64_t host_list_version = 0;
    std::vector<held_slot> slots;

    bool operator==(const member_record&) const = default;

    /// `address:port` of the daemon's peer socket.
    [[nodiscard]] std::string peer_endpoint() const {
        return address + ":" + std::to_string(peer_port);
    }
};

/// The heartbeat of one incarnation of a daemon, without its much larger record.
struct heartbeat_digest {
    /// member_key_of() of the daemon.
    std::uint64_t member_key = 0;
    /// The low 32 bits of member_record::heartbeat.
    std::uint32_t heartbeat = 0;
};

/// A hash of the host and incarnation, which identifies the daemon in a heartbeat_digest.
std::uint64_t member_key_of(const member_record& record);

/// The status of a daemon as seen by another: heard from recently (live), silent but on the host
/// list (suspected), shutting down or marked as leaving in the host list (leaving), silent and not
/// on the host list (gone).
enum class member_status { live, suspected, leaving, gone };

} // namespace eelgrassdoor::membership
