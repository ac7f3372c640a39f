/// \file
/// Defines the messages that daemons exchange. The order of the fields in each `serialize` is the
/// order on the wire.
#pragma once

#include "membership/member_record.hpp"
#include "peer/bounded.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::peer {

/// Message types, as numbered on the wire. Types from 20 on are bulk calls over TCP, the others are
/// UDP datagrams.
enum class message_type : std::uint8_t {
    gossip = 1,
    limit_request = 2,
    limit_return = 3,
    epoch_request = 4,
    online_load = 5,
    batch_grant_request = 6,
    batch_grant_change = 7,
    job_notice = 8,
    pull_document = 20,
    store_copy = 21,
    read_copy = 22,
    find_job = 23,
};

/// A load report of a target. Each daemon that forwards it adds the time it held the report to the
/// age, so that no two hosts' clocks are compared.
struct target_report {
    std::string target;
    /// Requests that the target is serving.
    std::uint32_t running = 0;
    /// Requests in the target's own queue.
    std::uint32_t waiting = 0;
    /// Requests that the target can serve at a time.
    std::uint32_t slots = 0;
    /// Batch items among the running requests, as counted by the daemon that allocates the target's
    /// batch slots.
    std::uint32_t running_batch = 0;
    /// Time since the target's state was observed, in milliseconds.
    std::uint32_t age_ms = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(running, waiting, slots, running_batch, age_ms);
    }
};

/// The payload of one gossip round: member records, heartbeats and load reports.
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
        serialize_list(ar, heartbeats, [](Archive& a, membership::heartbeat_digest& h) {
            a(h.member_key, h.heartbeat);
        });
        serialize_list(ar, reports, [](Archive& a, target_report& r) { a(r); });
    }
};

/// Asks the holder of a slot (limits::slot_record) for tokens of a customer's rate limit.
struct limit_request {
    std::string customer;
    std::uint16_t slot = 0;
    /// Tokens requested; must be positive.
    double want = 0;
    /// Whether the holder may grant fewer tokens than requested.
    bool accept_partial = false;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, customer);
        ar(slot, want, accept_partial);
    }
};

/// The reply to limit_request. The holder deducts \p granted from its balance before it replies, so
/// a lost reply loses the tokens rather than granting them twice.
struct limit_response {
    /// False when the holder may not grant from this slot now; the other fields are then zero.
    bool has_authority = false;
    /// Identifies the grant in limit_return.
    std::uint64_t grant_id = 0;
    double granted = 0;
    /// Tokens that the holder has left.
    double balance = 0;
    /// Seconds until the holder's balance reaches one token by its share of the rate; 0 when it has
    /// one already.
    double next_token_s = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(has_authority, grant_id, granted, balance, next_token_s);
    }
};

/// Returns unused tokens of a grant. The holder accepts a return once per grant and only within
/// limits::slot_buckets::loan_return_window after the grant. One-way.
struct limit_return {
    std::uint16_t slot = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(slot, grant_id, amount); }
};

/// Asks another daemon of the zone for the highest epoch of the zone's slot record
/// (limits::slot_record) that it knows.
struct epoch_request {
    template <typename Archive> void serialize(Archive& ar) {
        std::uint8_t unused = 0;
        ar(unused);
    }
};

/// The reply to epoch_request.
struct epoch_response {
    std::uint64_t record_epoch = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(record_epoch); }
};

/// Reports to the allocator of a target's batch slots how many online requests the sender has in
/// flight there. Sent on every change and repeated while the count is not zero, so that the
/// allocator learns the count even if a datagram is lost. One-way.
struct online_load {
    std::string target;
    std::uint32_t in_flight = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(in_flight);
    }
};

/// Asks the allocator of a target for batch slots. The grant replaces the sender's previous grant
/// on that target.
struct batch_grant_request {
    std::string target;
    /// Slots in which the sender runs batch items now.
    std::uint32_t in_use = 0;
    /// Total number of slots that the sender could use, including those in use.
    std::uint32_t want = 0;
    /// Sum of the weights of the customers whose items would use the slots.
    double weight = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(in_use, want, weight);
    }
};

/// The reply to batch_grant_request.
struct batch_grant_response {
    /// False when the receiver is not the allocator of this target; no slots are granted then.
    bool is_allocator = false;
    /// Slots that the sender of the request may use until its next request. The allocator takes
    /// them back when the request is not repeated within batch::slot_allocator::lease_duration.
    std::uint32_t granted = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(is_allocator, granted); }
};

/// Changes the receiver's grant on a target without a request. The receiver stops batch items in
/// excess of the new grant at once. One-way.
struct batch_grant_change {
    std::string target;
    std::uint32_t granted = 0;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, target);
        ar(granted);
    }
};

/// Notifies the owner of a job and the hosts that store its copies that the job record has changed.
/// One-way.
struct job_notice {
    std::string job;

    template <typename Archive> void serialize(Archive& ar) { serialize_string(ar, job); }
};

/// Bulk call for the last record of a job that the receiver has read or written, used while the
/// key-value service is unavailable. The payload of the reply is the record as JSON, or empty when
/// the receiver does not know the job.
struct find_job {
    std::string job;

    template <typename Archive> void serialize(Archive& ar) { serialize_string(ar, job); }
};

/// Documents that a daemon can fetch from a peer, as numbered on the wire.
enum class document_kind : std::uint8_t { configuration = 1, host_list = 2, members = 3 };

/// Bulk call for the receiver's current version of a document, which is the payload of the reply.
struct pull_document {
    document_kind kind = document_kind::configuration;

    template <typename Archive> void serialize(Archive& ar) { ar(kind); }
};

/// Bulk call that writes the payload at \p offset of a file in the receiver's spool. The file is
/// truncated to \p offset first; the call fails when the file is shorter than that.
struct store_copy {
    std::string storage;
    std::string file;
    std::uint64_t offset = 0;
    /// Whether the data must be on stable storage before the reply.
    bool sync = false;

    template <typename Archive> void serialize(Archive& ar) {
        serialize_string(ar, storage);
        serialize_string(ar, file);
        ar(offset, sync);
    }
};

/// The reply to store_copy.
struct store_response {
    bool stored = false;
    /// Size of the file after the write, in bytes; 0 when it failed.
    std::uint64_t size = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(stored, size); }
};

/// Bulk call that reads up to \p length bytes at \p offset of a file in the receiver's spool.
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

/// The reply to read_copy; the payload holds the data.
struct read_response {
    /// False when the file does not exist or cannot be read.
    bool found = false;

    template <typename Archive> void serialize(Archive& ar) { ar(found); }
};

} // namespace eelgrassdoor::peer
