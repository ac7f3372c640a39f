/// \file
/// Defines the forwarding of load digests between the own availability zone and the others.
#pragma once

#include "base/clock.hpp"
#include "fleet/digest_bundle.hpp"
#include "fleet/zone_gateways.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Callbacks of digest_gateway.
struct gateway_hooks {
    /// Whether a daemon was heard recently; must be true for this daemon.
    zone_gateways::is_heard_fn is_heard;
    /// Sends a datagram to one daemon.
    std::function<void(const member& to, std::string_view datagram)> send;
    /// Sends a datagram to all other daemons of the own zone.
    std::function<void(std::string_view datagram)> send_to_own_zone;
};

/// Forwards digests in bundles when this daemon is a gateway of its zone. Every daemon has an
/// instance, since the choice of gateways depends on which daemons are heard. A daemon that
/// receives a bundle from another zone distributes it in its own, whether or not it considers
/// itself a gateway. Not thread-safe.
class digest_gateway {
public:
    /// Minimum time between two rounds of forwarding. Together with send_intervals::change, which
    /// applies within a zone, a change reaches the whole fleet in about the mean time between two
    /// slots becoming free in a fully loaded fleet.
    static constexpr duration interval = milliseconds(60);

    digest_gateway(member self, gateway_hooks hooks)
        : m_self(std::move(self)), m_hooks(std::move(hooks)) {}

    void set_members(const member_map& members) { m_gateways.set_members(members); }
    /// Whether this daemon currently is one of the gateways of its zone.
    [[nodiscard]] bool is_gateway() const;

    /// Queues a digest from the own zone for the other zones; ignored unless is_gateway().
    void collect_outgoing(std::string_view host, std::string_view datagram);
    /// Queues a digest that a gateway of another zone sent, for the own zone.
    void collect_incoming(std::string_view host, std::string_view datagram);
    [[nodiscard]] bool has_pending() const { return !m_outgoing.empty() || !m_incoming.empty(); }
    /// Sends the queued digests if `interval` has passed since the last round; call it regularly
    /// while has_pending(). Digests for other zones are discarded if this daemon has ceased to be a
    /// gateway.
    void forward(time_point now);

private:
    [[nodiscard]] std::vector<member> own_gateways() const;
    void send_to_other_zones();

    member m_self;
    gateway_hooks m_hooks;
    zone_gateways m_gateways;
    bundle_collector m_outgoing;
    bundle_collector m_incoming;
    time_point m_forwarded_at{};
    /// Number of probes sent so far to zones without a heard daemon; selects the next daemon there.
    std::size_t m_probe_count = 0;
};

} // namespace eelgrassdoor::fleet
