/// \file
/// Defines the datagrams that daemons exchange.
#pragma once

#include "peer/bounded.hpp"
#include "peer/codec.hpp"
#include "routing/prompt_quarantine.hpp"
#include "routing/target_capacity.hpp"
#include "routing/target_instance.hpp"
#include "routing/target_limits.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::routing {

template <typename Archive> void serialize(Archive& ar, target_instance& start) {
    ar(start.target, start.started_at);
}

} // namespace eelgrassdoor::routing

namespace eelgrassdoor::fleet {

/// Maximum length of the name of a target's software version in a datagram.
inline constexpr std::size_t max_version_bytes = 128;

/// Serializes the name of a software version. Throws peer::size_limit_error above
/// max_version_bytes, in both directions.
template <typename Archive> void serialize_version(Archive& ar, std::string& version) {
    peer::serialize_string(ar, version);
    if (version.size() > max_version_bytes) {
        throw peer::size_limit_error("version exceeds max_version_bytes");
    }
}

/// Numbers of the sender's requests in flight at one target and of their recent failures.
struct target_load_counts {
    /// stable_hash() of the target's id; full ids would make the digest several times larger.
    std::uint64_t target = 0;
    std::uint16_t online = 0;
    std::uint16_t batch = 0;
    /// How many of these have waited too long for the first byte of the response; at most 255.
    std::uint8_t stalled = 0;
    /// Number of responses that recently ended prematurely; at most 255.
    std::uint8_t broken = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(target, online, batch, stalled, broken);
    }
};

/// Number of tokens in one customer's accepted batch items on one route that wait at the sender.
struct waiting_tokens {
    /// Hash of the customer and the route; see jobs::backlog_key().
    std::uint64_t customer_and_route = 0;
    std::uint64_t tokens = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(customer_and_route, tokens); }
};

/// State that a daemon sends to all others: promptly when it changes, and a few times a second
/// when it does not.
struct load_digest {
    static constexpr std::uint8_t kind = 1;
    std::string host;
    /// See member::incarnation.
    std::uint64_t incarnation = 0;
    /// Increases with each digest of one incarnation.
    std::uint64_t sequence = 0;
    /// Whether the key-value service responds to the sender.
    bool reaches_store = false;
    /// Whether the sender is shutting down and this is its last digest.
    bool is_final = false;
    /// store::mirror::content_revision() at the sender for each prefix, in the order of
    /// store::mirror::prefixes(), which is the same in all daemons.
    std::vector<std::uint64_t> content_revisions;
    std::vector<target_load_counts> targets;
    std::vector<waiting_tokens> waiting;
    /// Listed targets that have announced to any daemon that they are leaving.
    std::vector<routing::target_instance> leaving;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, host);
        ar(incarnation, sequence, reaches_store, is_final);
        const auto number = [](Archive& a, std::uint64_t& value) { a(value); };
        const auto element = [](Archive& a, auto& value) { a(value); };
        peer::serialize_list(ar, content_revisions, number);
        peer::serialize_list(ar, targets, element);
        peer::serialize_list(ar, waiting, element);
        peer::serialize_list(ar, leaving, element);
    }
};

/// Evidence of one daemon on a prompt segment that may crash targets.
struct segment_report {
    /// served_age_ms of a segment that no target has answered.
    static constexpr std::uint32_t never = UINT32_MAX;
    /// One crash of a target.
    struct crash {
        std::uint64_t instance = 0;
        std::uint32_t age_ms = 0;

        template <typename Archive> void serialize(Archive& ar) { ar(instance, age_ms); }
    };

    std::uint64_t segment = 0;
    std::uint32_t served_age_ms = never;
    std::uint32_t first_crash_age_ms = 0;
    std::vector<crash> crashes;

    template <typename Archive> void serialize(Archive& ar) {
        ar(segment, served_age_ms, first_crash_age_ms);
        peer::serialize_list(ar, crashes, [](Archive& a, auto& value) { a(value); });
    }
};

/// Follows a load_digest in the same datagram, where daemons of older builds ignore it; a second
/// one, on whole requests, follows target_limit_entries. What is empty and has nothing behind it is
/// left out.
struct segment_reports {
    std::vector<segment_report> reports;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_list(ar, reports, [](Archive& a, auto& value) { a(value); });
    }
};

/// Converts evidence for sending.
segment_reports to_reports(const std::vector<routing::segment_evidence>& evidence);
/// Converts received evidence.
std::vector<routing::segment_evidence> to_evidence(const segment_reports& received);

/// What the sender knows of the request limit of one target.
struct target_limit_entry {
    /// ended_age_ms of a limit that no response has ended.
    static constexpr std::uint32_t never = UINT32_MAX;

    routing::target_instance instance;
    double requests_per_second = 0;
    std::uint32_t named_age_ms = 0;
    std::uint32_t ended_age_ms = never;

    template <typename Archive> void serialize(Archive& ar) {
        ar(instance, requests_per_second, named_age_ms, ended_age_ms);
    }
};

/// Follows segment_reports in the datagram of a load_digest, where daemons of older builds ignore
/// it.
struct target_limit_entries {
    std::vector<target_limit_entry> entries;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_list(ar, entries, [](Archive& a, auto& value) { a(value); });
    }
};

/// Converts request limits for sending.
target_limit_entries to_entries(const std::vector<routing::target_limit_report>& reports);
/// Converts received request limits.
std::vector<routing::target_limit_report> to_limit_reports(const target_limit_entries& received);

/// The pace of one target's answers to the sender.
struct pace_entry {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    /// Requests in flight at the target; at most 255.
    std::uint8_t load = 0;
    /// Time between events in tenths of a millisecond; at most 6.5 s.
    std::uint16_t gap = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(target, load, gap); }
};

/// Follows the second segment_reports in the datagram of a load_digest, where daemons of older
/// builds ignore it.
struct pace_entries {
    /// See routing::pace_reports::window.
    std::uint32_t window = 0;
    std::vector<pace_entry> entries;

    template <typename Archive> void serialize(Archive& ar) {
        ar(window);
        peer::serialize_list(ar, entries, [](Archive& a, auto& value) { a(value); });
    }
};

/// Converts paces for sending.
pace_entries to_entries(const routing::pace_reports& reports);
/// Converts received paces.
routing::pace_reports to_pace_reports(const pace_entries& received);

/// Requests a permit for one request to a limited target from the daemon that issues them.
struct permit_request {
    static constexpr std::uint8_t kind = 10;
    /// Unique among the requests of the sender.
    std::uint64_t number = 0;
    std::string target;
    /// The limit that the sender knows, in requests per second.
    double requests_per_second = 0;
    /// A value of routing::work_kind.
    std::uint8_t work = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, target);
        ar(number, requests_per_second, work);
    }
};

/// Answers a permit_request.
struct permit_verdict {
    static constexpr std::uint8_t kind = 11;
    std::uint64_t number = 0;
    bool granted = false;
    /// When to ask again if no permit was granted.
    std::uint32_t wait_ms = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(number, granted, wait_ms); }
};

/// The version that began a stream, for a daemon that is to keep a copy.
struct stream_record {
    static constexpr std::uint8_t kind = 12;
    /// See stream_key().
    std::uint64_t key = 0;
    std::string version;

    template <typename Archive> void serialize(Archive& ar) {
        ar(key);
        serialize_version(ar, version);
    }
};

/// Asks for the version that began a stream. Sent again with the same number when no answer
/// arrives.
struct stream_query {
    static constexpr std::uint8_t kind = 13;
    /// Unique among the queries of the sender.
    std::uint64_t number = 0;
    /// See stream_key().
    std::uint64_t key = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(number, key); }
};

/// Answers a stream_query.
struct stream_answer {
    static constexpr std::uint8_t kind = 14;
    std::uint64_t number = 0;
    /// Whether the sender knows the version; otherwise `version` is empty.
    bool is_known = false;
    std::string version;

    template <typename Archive> void serialize(Archive& ar) {
        ar(number, is_known);
        serialize_version(ar, version);
    }
};

/// Requests a token for one request from the holder of the customer's tokens. Sent again with the
/// same number when no answer arrives; the holder repeats its answer.
struct token_acquire {
    static constexpr std::uint8_t kind = 7;
    /// Unique among the requests of the sender.
    std::uint64_t number = 0;
    std::string customer;
    /// The fields of routing::waiting_request, in milliseconds.
    std::uint32_t time_left_ms = 0;
    std::uint32_t elapsed_ms = 0;
    std::uint32_t objective_ms = 0;
    std::uint32_t service_ms = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, customer);
        ar(number, time_left_ms, elapsed_ms, objective_ms, service_ms);
    }
};

/// How a holder answers a token_acquire.
enum class token_status : std::uint8_t {
    /// The request may run; the token is spent.
    granted = 1,
    /// The request waits at the holder, which will answer again.
    queued = 2,
    /// The request is over the customer's rate.
    refused = 3,
    /// The receiver does not hold the customer's tokens.
    not_holder = 4,
};

/// Answers a token_acquire.
struct token_verdict {
    static constexpr std::uint8_t kind = 8;
    std::uint64_t number = 0;
    token_status status = token_status::not_holder;
    /// The predicted wait and, of a refused request, the time after which a retry is likely to
    /// succeed, in milliseconds.
    std::uint32_t predicted_ms = 0;
    std::uint32_t retry_after_ms = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(number, status, predicted_ms, retry_after_ms);
    }
};

/// Withdraws a token_acquire whose caller has left.
struct token_cancel {
    static constexpr std::uint8_t kind = 9;
    std::uint64_t number = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(number); }
};

/// Requests a loan of a customer's tokens from the other holders.
struct token_request {
    static constexpr std::uint8_t kind = 2;
    std::string customer;
    /// Number of tokens.
    double requested = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, customer);
        ar(requested);
    }
};

/// Lends tokens to the holder that requested them.
struct token_transfer {
    static constexpr std::uint8_t kind = 3;
    std::string customer;
    /// Number of tokens.
    double amount = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, customer);
        ar(amount);
    }
};

/// Requests copies of the digests of `host`, which do not arrive at the sender directly.
struct relay_request {
    static constexpr std::uint8_t kind = 4;
    std::string host;

    template <typename Archive> void serialize(Archive& ar) { peer::serialize_string(ar, host); }
};

/// Shows that the sender's datagrams arrive. Daemons that run jobs send it to other zones when
/// their digests go through gateways, because front ends there call them directly.
struct heartbeat {
    static constexpr std::uint8_t kind = 6;

    template <typename Archive> void serialize(Archive& /*ar*/) {}
};

/// First byte of each datagram. Datagrams with another version are logged and discarded.
inline constexpr char protocol_version = 2;

/// Encodes a datagram: one byte with the protocol version, one with the kind, then the message.
template <typename Message> std::string to_datagram(const Message& message) {
    std::string out;
    out += protocol_version;
    out += static_cast<char>(Message::kind);
    out += peer::encode(message);
    return out;
}

} // namespace eelgrassdoor::fleet
