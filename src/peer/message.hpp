/// \file
/// Defines the messages between daemons.
#pragma once

#include "membership/member_record.hpp"
#include "peer/bounded.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::peer {

/// The kinds of message. The numbers are part of the protocol.
enum class message_type : std::uint8_t {
    gossip = 1,
    limit_request = 2,
    limit_return = 3,
    epoch_request = 4,
    online_load = 5,
    lane_request = 6,
    lane_change = 7,
    job_notice = 8,
    pull_document = 20,
    store_copy = 21,
    read_copy = 22,
    find_job = 23,
};

/// A load report of a target. Age is counted by each forwarder, so that no clocks are compared.
struct target_report {
    std::string target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// The batch streams among the running ones, as far as the target's lane knows.
    std::uint32_t running_batch = 0;
    std::uint32_t age_ms = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(running, waiting, slots, running_batch, age_ms);
    }
};

/// What daemons tell each other in every gossip round.
struct gossip {
    std::vector<membership::member_record> members;
    std::vector<membership::heartbeat_digest> heartbeats;
    std::vector<target_report> reports;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_list(ar, members, [](Archive& a, membership::member_record& m) {
            serialize_string(a, m.host);
            serialize_string(a, m.availability_zone);
            serialize_string(a, m.address);
            a(m.http_port, m.peer_port, m.incarnation, m.heartbeat, m.revision, m.leaving,
              m.platform_reachable, m.has_spool, m.config_version, m.host_list_version);
            serialize_list(a, m.slots,
                           [](Archive& b, membership::held_slot& s) { b(s.slot, s.epoch); });
        });
        serialize_list(ar, heartbeats,
                       [](Archive& a, membership::heartbeat_digest& h) { a(h.who, h.heartbeat); });
        serialize_list(ar, reports, [](Archive& a, target_report& r) { a(r); });
    }
};

/// Asks a holder for tokens of a customer's rate.
struct limit_request {
    std::string customer;
    std::uint16_t slot = 0;
    double want = 0;
    /// Whether less than \p want is of use.
    bool accept_partial = false;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, customer);
        ar(slot, want, accept_partial);
    }
};

/// A holder's answer. The holder deducted \p granted before it answered.
struct limit_response {
    /// False when the holder may not use its part now.
    bool has_authority = false;
    std::uint64_t grant_id = 0;
    double granted = 0;
    double balance = 0;
    /// Seconds until one more token has come in, as far as this part knows.
    double next_token_s = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(has_authority, grant_id, granted, balance, next_token_s);
    }
};

/// Gives unused tokens back. The holder takes them only once for each grant and only for a time.
struct limit_return {
    std::uint16_t slot = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(slot, grant_id, amount); }
};

/// Asks another daemon of the zone which epoch of the zone's limit record it knows.
struct epoch_request {
    template <typename Archive> void serialize(Archive& ar) {
        std::uint8_t unused = 0;
        ar(unused);
    }
};

struct epoch_response {
    std::uint64_t record_epoch = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(record_epoch); }
};

/// Tells the lane of a target how many online requests the sender has on it. Sent on every change
/// and again while there are any, so that a lost message is made good.
struct online_load {
    std::string target;
    std::uint32_t in_flight = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(in_flight);
    }
};

/// Asks the lane of a target for batch slots. What was granted before is given back or kept.
struct lane_request {
    std::string target;
    /// The job owner's slots in use, which it wants to keep.
    std::uint32_t in_use = 0;
    /// How many slots the job owner could use in all.
    std::uint32_t want = 0;
    /// The customers' weights behind the wish, added up.
    double weight = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(in_use, want, weight);
    }
};

struct lane_response {
    /// False when the asked daemon does not run this lane.
    bool runs_lane = false;
    /// The slots that the job owner may use until it asks again.
    std::uint32_t granted = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(runs_lane, granted); }
};

/// Tells a job owner what it may use on a target from now on; it stops streams above it at once.
struct lane_change {
    std::string target;
    std::uint32_t granted = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(granted);
    }
};

/// Tells the holders of a job's copies that its record has changed.
struct job_notice {
    std::string job;

    template <typename Archive> void serialize(Archive& ar) { serialize_string(ar, job); }
};

/// Asks for a job's record as the asked daemon knows it; the payload of the answer is its JSON, or
/// empty. For reading while the key-value service is out.
struct find_job {
    std::string job;

    template <typename Archive> void serialize(Archive& ar) { serialize_string(ar, job); }
};

/// The kinds of document that daemons pull from each other.
enum class document_kind : std::uint8_t { configuration = 1, host_list = 2, members = 3 };

struct pull_document {
    document_kind kind = document_kind::configuration;

    template <typename Archive> void serialize(Archive& ar) { ar(kind); }
};

/// Writes bytes into a file of another spool, behind the bytes that are there already.
struct store_copy {
    std::string storage;
    std::string file;
    std::uint64_t offset = 0;
    /// Whether the bytes must be on the disk before the answer.
    bool sync = false;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, storage);
        serialize_string(ar, file);
        ar(offset, sync);
    }
};

struct store_response {
    bool stored = false;
    /// The size of the file after the call.
    std::uint64_t size = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(stored, size); }
};

/// Reads bytes of a file of another spool.
struct read_copy {
    std::string storage;
    std::string file;
    std::uint64_t offset = 0;
    std::uint64_t length = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, storage);
        serialize_string(ar, file);
        ar(offset, length);
    }
};

/// Whether the file was there; the bytes are the payload.
struct read_response {
    bool found = false;

    template <typename Archive> void serialize(Archive& ar) { ar(found); }
};

} // namespace eelgrassdoor::peer
