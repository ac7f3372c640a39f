/// \file
/// Defines how daemons get the digests of those that they do not hear from others that do.
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

/// Asks others for the digests of members that are not heard, and relays digests to those that
/// asked.
class digest_relay {
public:
    using send_fn = std::function<void(const net::udp::endpoint& to, std::string_view datagram)>;

    digest_relay(std::string own_host, send_fn send)
        : m_own_host(std::move(own_host)), m_send(std::move(send)) {}

    /// Another daemon asks for the digests of \p host, for a while.
    void note_request(const std::string& host, const net::udp::endpoint& from, time_point now);
    /// Relays a digest of \p host to those that asked for it.
    void relay(std::string_view host, std::string_view datagram, time_point now) const;
    /// Whether others were last asked long enough ago.
    [[nodiscard]] bool is_ask_due(time_point now) const;
    /// Asks for the digests of \p members that are not heard.
    void ask(const member_map& members, const std::function<bool(std::string_view host)>& is_heard,
             time_point now);

private:
    struct relay_target {
        net::udp::endpoint endpoint;
        time_point until{};
    };

    std::string m_own_host;
    send_fn m_send;
    std::map<std::string, std::vector<relay_target>, std::less<>> m_targets;
    time_point m_asked_at{};
    std::size_t m_next_helper = 0;
};

} // namespace eelgrassdoor::fleet
