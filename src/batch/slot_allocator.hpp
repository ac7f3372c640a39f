/// \file
/// Defines how one target's batch slots are given to job owners. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

/// What a job owner may use from now on, told to it without its asking. Streams above it stop at
/// once.
struct grant_change {
    std::string owner;
    std::uint32_t granted = 0;
};

/// The batch lane of one target. New slots are granted up to a window: what online requests leave
/// free, less a reserve, so that the next online requests find a free slot. Streams are stopped
/// only when online requests need their slot: while the reserve takes them in, it is restored as
/// items end, and no work is lost. A lane is run by one daemon; two during a membership
/// disagreement cost efficiency only.
class lane {
public:
    /// A grant or an online count that is not renewed ends after this time.
    static constexpr duration renewal_time = seconds(3);

    /// Takes in the size of the target and the share of it that is kept for online requests.
    void configure(std::uint32_t slots, double reserve_percent);
    /// One entry host has this many online requests on the target. Returns whose slots change.
    std::vector<grant_change> note_online(std::string_view host, std::uint32_t in_flight,
                                          time_point now);
    /// A job owner asks for slots; returns how many it may use until it asks again.
    std::uint32_t ask(std::string_view owner, std::uint32_t in_use, std::uint32_t want,
                      double weight, time_point now);

    /// The slots that online requests leave free now.
    [[nodiscard]] std::uint32_t free_slots(time_point now) const;
    /// The slots up to which new ones are granted.
    [[nodiscard]] std::uint32_t window(time_point now) const;
    [[nodiscard]] std::uint32_t granted() const;

private:
    struct share {
        std::uint32_t granted = 0;
        std::uint32_t want = 0;
        double weight = 1;
        time_point expires;
    };
    struct online_count {
        std::uint32_t in_flight = 0;
        time_point expires;
    };

    void expire(time_point now);
    /// Takes slots from the owners with the most until \p allowed are left.
    void shrink(std::uint32_t allowed);
    /// Gives free slots of the window to owners that want more, the least served first.
    void grow(std::uint32_t allowed);
    /// The part of the window that \p owner's weight gives it.
    [[nodiscard]] std::uint32_t fair_share(std::string_view owner, std::uint32_t window) const;

    std::uint32_t m_slots = 0;
    std::uint32_t m_reserve = 0;
    std::map<std::string, online_count, std::less<>> m_online;
    std::map<std::string, share, std::less<>> m_shares;
};

} // namespace eelgrassdoor::batch
