/// \file
/// Defines the part of the fleet's rate limiting that runs in one daemon.
#pragma once

#include "fleet/member_directory.hpp"
#include "fleet/token_client.hpp"
#include "fleet/token_exchange.hpp"
#include "fleet/token_server.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_holders.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// Keeps the customers' rates together with the other daemons: the tokens of each customer are held
/// by two daemons, to which the others send a datagram for each request, and which lend tokens to
/// each other. Not thread-safe.
class rate_limiter {
public:
    /// Whether a digest of \p host arrived recently.
    using is_heard_fn = std::function<bool(std::string_view host)>;

    /// \p boot_clock: a clock that also runs while the host is suspended.
    rate_limiter(net::asio::any_io_executor executor, clock_fn clock, clock_fn boot_clock,
                 member self, limits::customer_shares& shares, send_datagram_fn send);

    /// Applies the customers' limits and determines which daemons among \p members and this one
    /// hold tokens. Call it when any of them changes and a few times a second, since daemons fall
    /// silent.
    void update(const limits::customer_limits& limits, const member_map& members,
                const is_heard_fn& is_heard);
    /// Called to call update() again when it has not been called for too long, because this process
    /// did not run; to be set before the first update().
    std::function<void()> request_update;

    /// Number of customers whose primary holder this daemon is.
    [[nodiscard]] std::size_t held_customers();
    /// Obtains the tokens for callers' requests.
    token_client& tokens() { return m_client; }

    /// Handles the body of a datagram. Returns false when it is malformed or its kind is not one
    /// about tokens.
    bool receive(std::uint8_t kind, std::string_view body, const net::udp::endpoint& from);

private:
    [[nodiscard]] bool is_primary(std::string_view customer);
    /// The endpoints of the holders of \p customer other than this daemon.
    [[nodiscard]] std::vector<net::udp::endpoint> other_holders(std::string_view customer);
    void lend(const token_request& request, const net::udp::endpoint& to);
    /// Gives up the tokens if the host was suspended, or has the holders determined again if this
    /// process did not run for a while: other daemons may hold the tokens meanwhile.
    void check_interruption();

    clock_fn m_clock;
    clock_fn m_boot_clock;
    /// When update() was last called, by both clocks.
    time_point m_updated_at{};
    time_point m_updated_at_boot_time{};
    limits::customer_limits m_limits;
    const member m_self;
    limits::customer_shares& m_shares;
    send_datagram_fn m_send;
    limits::token_holders m_holders;
    /// Of all daemons that admit callers' requests, by host.
    std::map<std::string, net::udp::endpoint, std::less<>> m_endpoints;
    token_exchange m_exchange;
    token_client m_client;
    token_server m_server;
};

} // namespace eelgrassdoor::fleet
