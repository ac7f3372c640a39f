/// \file
/// Defines how a daemon obtains permits for requests to limited targets, and issues them to others.
#pragma once

#include "base/random_source.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/message.hpp"
#include "fleet/token_server.hpp"
#include "net/asio.hpp"
#include "net/notification.hpp"
#include "routing/fleet_load.hpp"
#include "routing/permit_issuer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// Keeps the request limits of targets together with the other daemons: each request to a limited
/// target needs a permit of the target's issuer, for which a datagram is sent. Without an answer
/// the target gets no request. Not thread-safe.
class permit_exchange {
public:
    /// Whether a digest of \p host arrived recently.
    using is_heard_fn = std::function<bool(std::string_view host)>;

    /// \p boot_clock: a clock that also runs while the host is suspended.
    permit_exchange(net::asio::any_io_executor executor, clock_fn clock, clock_fn boot_clock,
                    member self, routing::fleet_load& loads, send_datagram_fn send)
        : m_executor(std::move(executor)), m_clock(std::move(clock)),
          m_boot_clock(std::move(boot_clock)), m_self(std::move(self)), m_loads(loads),
          m_send(std::move(send)) {}

    /// Determines the issuers among \p members and this daemon. Call it when the members change
    /// and a few times a second, since daemons fall silent.
    void update(const member_map& members, const is_heard_fn& is_heard);

    /// Returns whether a request of this kind may be sent to \p target now; at once when the target
    /// has no limit. The permit is spent even if no request is sent. When there is none, the target
    /// is not picked again until one is likely to be available.
    net::task<bool> acquire(routing::fleet_target target, routing::work_kind kind);

    /// Handles the body of a datagram. Returns false when it is malformed or its kind is not one
    /// about permits.
    bool receive(std::uint8_t kind, std::string_view body, const net::udp::endpoint& from);

private:
    struct pending_request {
        net::notification wake;
        std::optional<permit_verdict> verdict;
    };

    /// Asks the issuer at \p endpoint. Returns nothing when it does not answer.
    net::task<std::optional<permit_verdict>> ask(permit_request request,
                                                 net::udp::endpoint endpoint);
    /// Takes a permit from the own bucket.
    routing::permit_issuer::verdict take(const routing::limited_target& target,
                                         routing::work_kind kind);
    void issue(const permit_request& request, const net::udp::endpoint& to);

    net::asio::any_io_executor m_executor;
    clock_fn m_clock;
    clock_fn m_boot_clock;
    /// When update() was last called, by m_boot_clock.
    time_point m_updated_at{};
    const member m_self;
    routing::fleet_load& m_loads;
    send_datagram_fn m_send;
    routing::permit_issuer m_issuer;
    /// Of the other daemons that issue permits, by host.
    std::map<std::string, net::udp::endpoint, std::less<>> m_endpoints;
    /// By number.
    std::map<std::uint64_t, pending_request> m_pending;
    /// Starts at random, so that a restarted daemon does not get answers to its earlier requests.
    std::uint64_t m_last_number = secure_random_uint64();
};

} // namespace eelgrassdoor::fleet
