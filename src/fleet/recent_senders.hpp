/// \file
/// Defines from which endpoints datagrams arrive. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <cstddef>
#include <map>

namespace eelgrassdoor::fleet {

/// Datagrams that arrive from a daemon without another one's help show that calls to it are likely
/// to arrive, too.
class heard_endpoints {
public:
    /// An endpoint that was not heard for this long is taken to be out of reach: twice the interval
    /// in which unchanged digests are repeated, and a margin, so that a lost datagram does not.
    static constexpr duration silence = milliseconds(1100);
    /// Endpoints that are remembered; above this, those that are silent are forgotten.
    static constexpr std::size_t max_remembered = 2048;

    void note(const net::udp::endpoint& from, time_point now);
    [[nodiscard]] bool contains(const net::udp::endpoint& endpoint, time_point now) const;

private:
    std::map<net::udp::endpoint, time_point> m_heard_at;
};

} // namespace eelgrassdoor::fleet
