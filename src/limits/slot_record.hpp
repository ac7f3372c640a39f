/// \file
/// Defines the record that says which daemons of a zone hold the zone's parts of all rates.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::limits {

/// Each availability zone's share of every rate is cut into this many parts. One record with all
/// slots of a zone makes the loss of a host one write, not one for each customer.
inline constexpr std::size_t slots_per_zone = 2;

/// The number of parts of every rate in a fleet of \p zones availability zones.
constexpr std::size_t slot_count(std::size_t zones) {
    return zones * slots_per_zone;
}

/// Who holds one slot.
struct slot_holder {
    /// Empty while nobody has held the slot yet.
    std::string host;
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

std::string to_json(const slot_record& record);
std::optional<slot_record> slot_record_from_json(std::string_view text);

/// Why a slot may be claimed, and what that means for its balance.
enum class claim_reason {
    /// Nobody has held the slot: its tokens were never used, so it begins full.
    never_held,
    /// Its holder gave it up: it begins empty.
    released,
    /// An earlier incarnation of this host held it, or this one claimed it and could not begin to
    /// use it: it begins empty.
    own_restart,
    /// The platform says that the holder is gone: it begins empty.
    holder_gone,
};

struct slot_claim {
    std::size_t slot = 0;
    claim_reason reason = claim_reason::never_held;
};

/// What a daemon knows when it considers a claim.
struct claim_context {
    std::string_view host;
    std::uint64_t incarnation = 0;
    /// Whether the platform's list, read now, names the host.
    std::function<bool(std::string_view)> is_listed;
    /// Whether the host was heard within the suspicion time.
    std::function<bool(std::string_view)> is_recently_heard;
    /// Whether this daemon uses the slot now.
    std::function<bool(std::size_t slot)> holds;
    /// Whether this daemon should take a free slot rather than another of the zone.
    std::function<bool(std::size_t slot)> is_preferred;
};

/// Returns the first slot that the daemon may claim now.
std::optional<slot_claim> find_claim(const slot_record& record, const claim_context& context);

/// The record after \p host has given \p slot up.
slot_record apply_release(const slot_record& record, std::size_t slot);

/// The record after \p claim.
slot_record apply_claim(const slot_record& record, const slot_claim& claim, std::string_view host,
                        std::uint64_t incarnation);

} // namespace eelgrassdoor::limits
