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

/// A job owner that must stop streams at once.
struct revocation {
    std::string owner;
    /// The slots that it keeps.
    std::uint32_t keep = 0;
};

/// The batch lane of one target. Its window is what online requests leave free, less a reserve,
/// so that the next online requests find a free slot. It is run by one daemon; two during a
/// membership disagreement cost efficiency only.
class lane {
public:
    /// A grant or an online count that is not renewed ends after this time.
    static constexpr duration renewal_time = seconds(2);

    /// Takes in the size of the target and the share of it that is kept for online requests.
    void configure(std::uint32_t slots, double reserve_percent);
    /// One entry host has this many online requests on the target. Returns who must stop streams.
    std::vector<revocation> note_online(std::string_view host, std::uint32_t in_flight,
                                        time_point now);
    /// A job owner asks for slots; returns how many it may use until it asks again.
    std::uint32_t ask(std::string_view owner, std::uint32_t in_use, std::uint32_t want,
                      double weight, time_point now);

    /// The slots that all batch work may use now.
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
    /// The part of the window that \p owner's weight gives it.
    [[nodiscard]] std::uint32_t fair_share(std::string_view owner, std::uint32_t window) const;

    std::uint32_t m_slots = 0;
    std::uint32_t m_reserve = 0;
    std::map<std::string, online_count, std::less<>> m_online;
    std::map<std::string, share, std::less<>> m_shares;
};

} // namespace eelgrassdoor::batch
