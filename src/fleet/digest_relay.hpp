/// \file
/// Defines relaying of load digests between daemons that do not receive each other's datagrams.
#pragma once

#include "base/clock.hpp"
#include "fleet/member_directory.hpp"
#include "net/asio.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Requests the digests of silent members from other members, and relays received digests to the
/// daemons that requested them. Not thread-safe.
class digest_relay {
public:
    using send_fn = std::function<void(const net::udp::endpoint& to, std::string_view datagram)>;

    digest_relay(std::string own_host, send_fn send)
        : m_own_host(std::move(own_host)), m_send(std::move(send)) {}

    /// Records that the daemon at \p from wants the digests of \p host. The request expires after
    /// 1.6 s unless it is repeated. Ignored when 16 other daemons have requested the same digests.
    void record_request(const std::string& host, const net::udp::endpoint& from, time_point now);
    /// Sends a digest of \p host to every daemon with an unexpired request for it.
    void relay(std::string_view host, std::string_view datagram, time_point now) const;
    /// Whether the interval between two calls of request_relays() has passed.
    [[nodiscard]] bool is_request_due(time_point now) const;
    /// Requests the digests of those \p members for which \p is_heard is false from members for
    /// which it is true: each from two of them, in rotation.
    void request_relays(const member_map& members,
                        const std::function<bool(std::string_view host)>& is_heard, time_point now);

private:
    struct relay_destination {
        net::udp::endpoint endpoint;
        time_point until{};
    };

    std::string m_own_host;
    send_fn m_send;
    std::map<std::string, std::vector<relay_destination>, std::less<>> m_destinations;
    time_point m_requested_at{};
    std::size_t m_next_relay = 0;
};

} // namespace eelgrassdoor::fleet
