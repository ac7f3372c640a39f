/// \file
/// Defines the datagrams between daemons.
#pragma once

#include "peer/bounded.hpp"
#include "peer/codec.hpp"
#include "routing/leaving_targets.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassdoor::routing {

template <typename Archive> void serialize(Archive& ar, leaving_start& start) {
    ar(start.target, start.started_at);
}

} // namespace eelgrassdoor::routing

namespace eelgrassdoor::fleet {

/// Requests of the sender at one target.
struct target_count {
    /// stable_hash() of the target's id; ids would make the digest several times larger.
    std::uint64_t target = 0;
    std::uint16_t online = 0;
    std::uint16_t batch = 0;
    /// Of these, requests that wait for the first byte of their answer for too long.
    std::uint8_t stalled = 0;
    /// Answers that broke off lately.
    std::uint8_t broken = 0;

    template <typename Archive> void serialize(Archive& ar) {
        ar(target, online, batch, stalled, broken);
    }
};

/// Tokens of one customer's accepted items on one route that wait at the sender.
struct waiting_tokens {
    std::uint64_t customer_and_route = 0;
    std::uint64_t tokens = 0;

    template <typename Archive> void serialize(Archive& ar) { ar(customer_and_route, tokens); }
};

/// What a daemon tells all others, at once when it changes and a few times a second anyway.
struct load_digest {
    static constexpr std::uint8_t kind = 1;
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Whether the key-value service answers the sender.
    bool reaches_store = false;
    /// Whether this is the sender's last digest.
    bool ends = false;
    /// The highest revision of any key that the sender knows, for each mirrored prefix in order.
    std::vector<std::uint64_t> known_revisions;
    std::vector<target_count> targets;
    std::vector<waiting_tokens> waiting;
    /// Listed targets that have said to any daemon that they leave.
    std::vector<routing::leaving_start> leaving;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, host);
        ar(incarnation, sequence, reaches_store, ends);
        const auto number = [](Archive& a, std::uint64_t& value) { a(value); };
        const auto whole = [](Archive& a, auto& value) { a(value); };
        peer::serialize_list(ar, known_revisions, number);
        peer::serialize_list(ar, targets, whole);
        peer::serialize_list(ar, waiting, whole);
        peer::serialize_list(ar, leaving, whole);
    }
};

/// Asks for tokens of a customer's rate.
struct token_request {
    static constexpr std::uint8_t kind = 2;
    std::string customer;
    double want = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, customer);
        ar(want);
    }
};

/// Gives tokens to the daemon that asked.
struct token_transfer {
    static constexpr std::uint8_t kind = 3;
    std::string customer;
    double amount = 0;

    template <typename Archive> void serialize(Archive& ar) {
        peer::serialize_string(ar, customer);
        ar(amount);
    }
};

/// Asks for copies of another daemon's digests, because its own do not arrive here.
struct relay_request {
    static constexpr std::uint8_t kind = 4;
    std::string host;

    template <typename Archive> void serialize(Archive& ar) { peer::serialize_string(ar, host); }
};

/// Shows that datagrams of the sender arrive. Daemons that run jobs send it to other zones when
/// their digests go through gateways, as callers' daemons there call them.
struct presence {
    static constexpr std::uint8_t kind = 6;

    template <typename Archive> void serialize(Archive& /*ar*/) {}
};

/// The bytes of a datagram: protocol version, kind, message.
inline constexpr char protocol_version = 2;

template <typename Message> std::string to_datagram(const Message& message) {
    std::string out;
    out += protocol_version;
    out += static_cast<char>(Message::kind);
    out += peer::encode(message);
    return out;
}

} // namespace eelgrassdoor::fleet
