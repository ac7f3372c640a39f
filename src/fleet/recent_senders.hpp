/// \file
/// Defines the set of endpoints from which datagrams arrived recently. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "net/asio.hpp"

#include <cstddef>
#include <map>

namespace eelgrassdoor::fleet {

/// Records when each endpoint last sent a datagram directly, without a relay. Calls to an endpoint
/// in this set are likely to succeed. Not thread-safe.
class recent_senders {
public:
    /// An endpoint that sent nothing for this long counts as unreachable. Twice the interval in
    /// which unchanged digests are repeated plus a margin, to tolerate one lost datagram.
    static constexpr duration direct_silence_timeout = milliseconds(1100);
    /// When this many endpoints are recorded, those silent for longer than direct_silence_timeout
    /// are evicted before the next datagram is recorded. Not an upper limit.
    static constexpr std::size_t eviction_threshold = 2048;

    /// Records a datagram that arrived from \p from at \p now.
    void record_datagram(const net::udp::endpoint& from, time_point now);
    /// Whether a datagram from \p endpoint arrived within `direct_silence_timeout` before \p now.
    [[nodiscard]] bool contains(const net::udp::endpoint& endpoint, time_point now) const;

private:
    std::map<net::udp::endpoint, time_point> m_heard_at;
};

} // namespace eelgrassdoor::fleet
