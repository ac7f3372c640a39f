/// \file
/// Defines what a gateway does: it passes digests on between its zone and the others.
#pragma once

#include "base/clock.hpp"
#include "fleet/digest_bundle.hpp"
#include "fleet/zone_gateways.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Where gateway_duty sends and what it asks.
struct gateway_hooks {
    /// Whether a daemon was heard lately; this one counts as heard.
    zone_gateways::is_heard_fn is_heard;
    /// Sends a datagram to one daemon.
    std::function<void(const member& to, std::string_view datagram)> send;
    /// Sends a datagram to all other daemons of the own zone.
    std::function<void(std::string_view datagram)> send_to_own_zone;
};

/// Every daemon has this duty prepared: which ones are gateways follows from who is heard. A daemon
/// that gets a bundle of another zone spreads it, whether or not it counts itself as a gateway.
class gateway_duty {
public:
    /// Collected digests are passed on this often: together with the interval in which a zone is
    /// told changes, a change is known everywhere about as soon as a place frees in a full fleet.
    static constexpr duration interval = milliseconds(60);

    gateway_duty(member self, gateway_hooks hooks)
        : m_self(std::move(self)), m_hooks(std::move(hooks)) {}

    void set_members(const member_map& members) { m_gateways.set_members(members); }
    [[nodiscard]] bool is_gateway() const;

    /// A digest of the own zone, for the others; dropped by daemons that are no gateways.
    void collect_outgoing(std::string_view host, std::string_view datagram);
    /// A digest that a gateway of another zone sent.
    void collect_incoming(std::string_view host, std::string_view datagram);
    [[nodiscard]] bool has_news() const { return !m_outgoing.empty() || !m_incoming.empty(); }
    /// Passes on what was collected, when that is due.
    void pass_on(time_point now);

private:
    [[nodiscard]] std::vector<member> own_gateways() const;
    void send_to_other_zones();

    member m_self;
    gateway_hooks m_hooks;
    zone_gateways m_gateways;
    bundle_collector m_outgoing;
    bundle_collector m_incoming;
    time_point m_passed_on_at{};
    /// Counts the daemons that were tried in zones of which nobody is heard.
    std::size_t m_probes = 0;
};

} // namespace eelgrassdoor::fleet
