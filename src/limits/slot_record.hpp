/// \file
/// Defines the record of which daemons hold the rate-limit slots of an availability zone.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::limits {

/// The number of slots of an availability zone. Each slot has an equal share of every customer's
/// rate. As one record has all slots of a zone, replacing a lost host takes one write, not one for
/// each customer.
inline constexpr std::size_t slots_per_zone = 2;

/// The number of slots in a fleet of \p zones availability zones.
constexpr std::size_t slot_count(std::size_t zones) {
    return zones * slots_per_zone;
}

/// The holder of one slot.
struct slot_holder {
    /// Empty when no daemon has held the slot yet.
    std::string host;
    /// The holder's incarnation when it claimed the slot.
    std::uint64_t incarnation = 0;
    /// Whether the holder gave the slot up in a graceful shutdown.
    bool released = false;

    bool operator==(const slot_holder&) const = default;
};

/// The record of one zone in the key-value service.
struct slot_record {
    /// Grows with every change.
    std::uint64_t epoch = 0;
    std::array<slot_holder, slots_per_zone> slots;

    bool operator==(const slot_record&) const = default;
};

/// Serializes a record; slot_record_from_json() returns nothing when \p text is not a slot record.
std::string to_json(const slot_record& record);
std::optional<slot_record> slot_record_from_json(std::string_view text);

/// Why a slot may be claimed, which decides whether its buckets start full or empty.
enum class claim_reason {
    /// No daemon has held the slot: its tokens were never used, so it starts full.
    never_held,
    /// Its holder released it: it starts empty.
    released,
    /// An earlier incarnation of this host held it, or this incarnation claimed it but could not
    /// start to use it: it starts empty.
    own_restart,
    /// The platform does not list the holder's host and it has not been heard from recently: the
    /// slot starts empty.
    holder_gone,
};

/// A slot to claim.
struct slot_claim {
    std::size_t slot = 0;
    claim_reason reason = claim_reason::never_held;
};

/// The inputs to find_claim().
struct claim_context {
    /// The host of this daemon and its incarnation.
    std::string_view host;
    std::uint64_t incarnation = 0;
    /// Whether the platform's current host list contains the host.
    std::function<bool(std::string_view)> is_listed;
    /// Whether the host was heard from within the suspicion time.
    std::function<bool(std::string_view)> is_recently_heard;
    /// Whether this daemon currently uses the slot.
    std::function<bool(std::size_t slot)> holds;
    /// Whether this daemon, rather than another of the zone, should claim the slot when it is free.
    std::function<bool(std::size_t slot)> is_preferred;
};

/// Returns the first slot that the daemon may claim, or nothing. A free slot also has to be one for
/// which the daemon is preferred; a slot of the daemon's own earlier run does not.
std::optional<slot_claim> find_claim(const slot_record& record, const claim_context& context);

/// The record, with the next epoch, after the holder of \p slot has released it.
slot_record apply_release(const slot_record& record, std::size_t slot);

/// The record, with the next epoch, after \p host with \p incarnation has made \p claim.
slot_record apply_claim(const slot_record& record, const slot_claim& claim, std::string_view host,
                        std::uint64_t incarnation);

} // namespace eelgrassdoor::limits
