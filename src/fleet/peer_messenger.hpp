/// \file
/// Defines the exchange of datagrams with the other daemons of the fleet.
#pragma once

#include "base/clock.hpp"
#include "fleet/digest_gateway.hpp"
#include "fleet/digest_relay.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/message.hpp"
#include "fleet/newer_revision.hpp"
#include "fleet/peer_group.hpp"
#include "fleet/peer_table.hpp"
#include "fleet/permit_exchange.hpp"
#include "fleet/rate_limiter.hpp"
#include "fleet/recent_senders.hpp"
#include "fleet/stream_version_exchange.hpp"
#include "limits/customer_shares.hpp"
#include "net/notification.hpp"
#include "net/udp_socket.hpp"
#include "observe/decision_log.hpp"
#include "routing/fleet_load.hpp"
#include "store/mirror.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

struct peer_messenger_options {
    member self;
    /// `IP:PORT` of daemons that receive digests as long as no member is known.
    std::vector<std::string> seeds;
    send_intervals intervals;
    /// Maximum number of daemons in other zones that receive digests directly. With more of them,
    /// digests to other zones go through gateways.
    std::size_t max_direct_peers = 24;
    /// Whether to drop the datagrams from an endpoint (`IP:PORT`); simulates network partitions in
    /// tests.
    std::function<bool(std::string_view)> is_cut_off;
};

/// Sends and receives datagrams with load, revisions of the mirrored prefixes, tokens of customers'
/// rate limits, permits for limited targets and the versions that began streams. Not thread-safe:
/// all calls and callbacks run on the executor given at construction.
class peer_messenger {
public:
    peer_messenger(net::asio::any_io_executor executor, peer_messenger_options options,
                   clock_fn clock, observe::decision_log& log, routing::fleet_load& loads,
                   store::mirror& mirrors, limits::customer_shares& shares);

    /// Opens the UDP socket on the own endpoint and starts sending. Fails when the endpoint is
    /// malformed or cannot be bound.
    result<void> start();
    /// Sends a final digest, on which other daemons discard the load of this one at once, closes
    /// the socket and stops sending.
    void stop();

    /// Called when a digest names a newer revision of a prefix than the own mirror has; optional.
    std::function<void(const newer_revision&)> on_newer_revision;
    /// Called when a digest with the load of another daemon has arrived; optional.
    std::function<void()> on_peer_load;
    /// Returns the tokens that wait at this daemon; called for each digest. Unset means none.
    std::function<std::vector<waiting_tokens>()> collect_waiting_tokens;

    /// Returns this daemon's evidence on prompt segments that may crash targets; called for each
    /// digest. Unset means none.
    std::function<std::vector<routing::segment_evidence>()> collect_evidence;
    /// Called with the evidence in another daemon's digest; optional.
    std::function<void(const std::vector<routing::segment_evidence>&)> on_evidence;
    /// The same for whole requests that may crash targets.
    std::function<std::vector<routing::segment_evidence>()> collect_request_evidence;
    std::function<void(const std::vector<routing::segment_evidence>&)> on_request_evidence;
    /// Called with the targets whose request limit another daemon's digest has changed; optional.
    std::function<void(const std::vector<routing::target_instance>&)> on_limit_change;

    /// Whether the key-value service responds to this daemon; called for each digest. Unset means
    /// that it does not.
    std::function<bool()> reaches_store;

    /// Replaces the set of registered daemons with the mirrored registrations.
    void set_members(const std::vector<member>& members);
    /// The name of this host.
    [[nodiscard]] const std::string& self() const { return m_options.self.host; }
    /// The registered daemons; only these may own jobs.
    [[nodiscard]] const member_map& members() const { return m_directory.registered(); }
    /// The registered daemons and those whose registration has lapsed recently.
    [[nodiscard]] member_map active_members() const {
        return m_directory.active_members(m_clock());
    }
    /// Applies the customers' rate limits to the daemons that are active and heard now, and
    /// determines which of them issue permits and keep versions of streams. Until the members are
    /// known, no request of these customers is admitted here. Call it when the limits
    /// or the members change and a few times a second.
    void apply_limits(const limits::customer_limits& limits);
    /// Estimated time until a change of load at this daemon is known to the whole fleet.
    [[nodiscard]] duration load_propagation_delay() const;
    /// Schedules a digest to all other daemons because its content has changed. It is sent as soon
    /// as peer_group::change_interval() allows; without this call the change is sent when the
    /// unchanged digest would have been repeated.
    void schedule_digest();

    /// Number of customers whose tokens this daemon holds as the primary holder.
    [[nodiscard]] std::size_t held_customers() { return m_limiter.held_customers(); }
    /// Obtains the tokens of customers' rate limits.
    token_client& tokens() { return m_limiter.tokens(); }
    /// Obtains the permits for requests to limited targets.
    permit_exchange& permits() { return m_permits; }
    /// Records and finds the versions that began streams.
    stream_version_exchange& streams() { return m_streams; }

    /// Sum of the waiting tokens of a customer and route at all other daemons; see
    /// peer_table::sum_waiting_tokens().
    [[nodiscard]] std::uint64_t
    peer_waiting_tokens(std::uint64_t customer_and_route,
                        const peer_table::owns_jobs_fn& owns_jobs) const;
    /// Whether any daemon heard within routing::fleet_load::peer_load_lifetime reaches the
    /// key-value service.
    [[nodiscard]] bool any_peer_reaches_store() const;
    /// Whether \p host was heard within \p age and its digest said that it reaches the key-value
    /// service.
    [[nodiscard]] bool peer_reaches_store(std::string_view host, duration age) const;
    /// Whether a digest of \p host arrived within \p age, directly or forwarded.
    [[nodiscard]] bool heard_within(std::string_view host, duration age) const;
    /// Number of daemons that were heard lately, directly or forwarded.
    [[nodiscard]] std::size_t heard_peers() const;
    /// Whether datagrams from \p endpoint (`IP:PORT`) arrive directly, without a relay or gateway,
    /// so that calls to it are likely to succeed.
    [[nodiscard]] bool receives_directly_from(std::string_view endpoint) const;

private:
    /// The path by which a digest arrived.
    struct digest_origin {
        net::udp::endpoint from;
        /// Whether `from` forwarded the digest in a bundle.
        bool in_bundle = false;
        /// Whether the sender of that bundle is in another zone.
        bool from_other_zone = false;
    };
    net::task<> run();
    void receive(std::string_view bytes, const net::udp::endpoint& from);
    void receive_digest(std::string_view bytes, const digest_origin& origin);
    /// Takes over what follows the load in a digest of \p host; \p body is empty when nothing
    /// does.
    void receive_extensions(std::string_view host, std::string_view body,
                            const net::udp::endpoint& from);
    void receive_limits(const target_limit_entries& limits);
    /// Returns what follows the load in this daemon's digests. Builds before a part ignore it.
    [[nodiscard]] std::string make_extensions();
    void receive_bundle(std::string_view body, const net::udp::endpoint& from);
    /// Logs that a malformed datagram was discarded.
    void log_malformed(const net::udp::endpoint& from);
    /// Queues a new digest at the gateway if this daemon may have to forward it.
    void queue_for_forwarding(const load_digest& digest, std::string_view bytes,
                              const digest_origin& origin);
    /// Calls on_newer_revision for each prefix of which \p digest names a newer revision.
    void report_newer_revisions(const load_digest& digest, const digest_origin& origin);
    void receive_relay_request(std::string_view body, const net::udp::endpoint& from);
    /// Returns a new digest of this daemon as a datagram; increments the sequence number.
    [[nodiscard]] std::string make_own_digest();
    /// Rebuilds the endpoint lists from the directory.
    void refresh_peers();
    void send_to(const std::vector<net::udp::endpoint>& peers, std::string_view bytes);
    [[nodiscard]] bool uses_gateways() const {
        return m_other_zones.endpoints.size() > m_options.max_direct_peers;
    }
    /// Sends a digest to the daemons of the own zone if one is due, and queues it for other zones
    /// if gateways are used.
    void send_digest_to_own_zone();
    /// Sends a digest to the daemons of other zones if one is due, unless gateways do. In that case
    /// sends them a heartbeat if this daemon runs jobs.
    void send_digest_to_other_zones();
    [[nodiscard]] gateway_hooks make_gateway_hooks();

    net::asio::any_io_executor m_executor;
    peer_messenger_options m_options;
    clock_fn m_clock;
    observe::decision_log& m_log;
    routing::fleet_load& m_loads;
    store::mirror& m_mirrors;
    limits::customer_shares& m_shares;
    net::udp_socket m_socket;
    net::notification m_wake;
    peer_group m_own_zone;
    peer_group m_other_zones;
    bool m_stopped = false;
    std::uint64_t m_sequence = 0;
    member_directory m_directory;
    std::vector<net::udp::endpoint> m_seed_endpoints;
    peer_table m_peers;
    recent_senders m_recent_senders;
    digest_relay m_relay;
    rate_limiter m_limiter;
    permit_exchange m_permits;
    stream_version_exchange m_streams;
    limits::customer_limits m_limits;
    digest_gateway m_gateway;
    time_point m_refreshed_at{};
};

} // namespace eelgrassdoor::fleet
