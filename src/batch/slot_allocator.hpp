/// \file
/// Defines the allocation of one target's batch slots to job owners. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

/// An unsolicited change of the slots granted to a job owner. It must stop streams in excess of the
/// grant at once.
struct grant_change {
    std::string owner;
    std::uint32_t granted = 0;
};

/// The batch slots of one target. New slots are granted up to a window: what online requests leave
/// free, less a reserve, so that the next online requests find a free slot. Online requests first
/// use up the reserve, which grows back as batch items end, so that no work is lost. Streams are
/// stopped only when online requests need more slots than that. One daemon runs the allocator of a
/// target; that two do while daemons disagree on the membership costs efficiency only. Not
/// thread-safe.
class slot_allocator {
public:
    /// How long grants and online counts are valid unless renewed.
    static constexpr duration lease_duration = seconds(3);

    /// Sets the slots of the target and the percentage of them reserved for online requests.
    void configure(std::uint32_t slots, double reserve_percent);
    /// Sets the number of online requests that one entry host has at the target, valid for
    /// lease_duration. Returns the owners whose grant changes, with their new grants.
    std::vector<grant_change> update_online(std::string_view host, std::uint32_t in_flight,
                                            time_point now);
    /// Requests \p requested slots in total for a job owner that uses \p in_use now. Returns the
    /// slots it may use until its next request, for lease_duration, or until update_online()
    /// changes the grant. With both at 0 the owner is removed. Owners share the window in
    /// proportion to \p weight.
    std::uint32_t request_slots(std::string_view owner, std::uint32_t in_use,
                                std::uint32_t requested, double weight, time_point now);

    /// The slots that online requests leave free now.
    [[nodiscard]] std::uint32_t free_slots(time_point now) const;
    /// The slots up to which new ones are granted: the free ones less the reserve.
    [[nodiscard]] std::uint32_t window(time_point now) const;
    /// Slots granted to all owners together.
    [[nodiscard]] std::uint32_t granted() const;

private:
    struct owner_grant {
        std::uint32_t granted = 0;
        std::uint32_t requested = 0;
        double weight = 1;
        time_point expires;
    };
    struct online_count {
        std::uint32_t in_flight = 0;
        time_point expires;
    };

    /// Removes expired grants and online counts.
    void expire(time_point now);
    /// Takes slots from the owners with the most until at most \p allowed are granted in total.
    void shrink(std::uint32_t allowed);
    /// Grants more slots, up to \p allowed in total, to owners that requested more; the one with
    /// the fewest by weight is first.
    void grow(std::uint32_t allowed);
    /// The slots of \p window to which \p owner is entitled by its weight, rounded up.
    [[nodiscard]] std::uint32_t weighted_share(std::string_view owner, std::uint32_t window) const;

    std::uint32_t m_slots = 0;
    /// In slots.
    std::uint32_t m_reserve = 0;
    /// By entry host.
    std::map<std::string, online_count, std::less<>> m_online;
    /// By job owner.
    std::map<std::string, owner_grant, std::less<>> m_grants;
};

} // namespace eelgrassdoor::batch
