/// \file
/// Defines what daemons tell each other by datagrams.
#pragma once

#include "base/clock.hpp"
#include "fleet/digest_gateway.hpp"
#include "fleet/digest_relay.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/message.hpp"
#include "fleet/peer_group.hpp"
#include "fleet/peer_table.hpp"
#include "fleet/recent_senders.hpp"
#include "fleet/token_exchange.hpp"
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

struct link_options {
    member self;
    /// `IP:PORT` of daemons to tell of this one before any member is known.
    std::vector<std::string> seeds;
    tell_intervals intervals;
    /// With more daemons than this in other zones, digests go to them through gateways.
    std::size_t max_direct_peers = 24;
    /// Endpoints (`IP:PORT`) whose datagrams are dropped: cuts of the network, in tests.
    std::function<bool(std::string_view)> is_cut_off;
};

/// What another daemon knows that this one does not.
struct newer_revision {
    /// The daemon's endpoint.
    std::string endpoint;
    std::string prefix;
    std::uint64_t revision = 0;
    bool same_zone = false;
};

/// Sends and receives datagrams: load, revisions of mirrors, tokens of customers' rates.
class link {
public:
    link(net::asio::any_io_executor executor, link_options options, clock_fn clock,
         observe::decision_log& log, routing::fleet_load& loads, store::mirror& mirrors,
         limits::customer_shares& shares);

    result<void> start();
    /// Says goodbye and closes the socket.
    void stop();

    /// Another daemon knows a newer revision of a prefix.
    std::function<void(const newer_revision&)> on_newer_revision;
    /// The load at a target, as it was told by another daemon, has changed.
    std::function<void()> on_peer_load;
    /// Tokens that wait here, for the digest.
    std::function<std::vector<waiting_tokens>()> own_waiting;

    /// Whether the key-value service answers this daemon.
    std::function<bool()> reaches_store;

    /// Takes in all daemons, from the mirrored registrations.
    void set_members(const std::vector<member>& members);
    /// The registered daemons: those that may own jobs.
    [[nodiscard]] const member_map& members() const { return m_directory.registered(); }
    /// Daemons that may admit callers' requests, also when their registration has just ended.
    [[nodiscard]] std::size_t fronts() const { return m_directory.fronts(m_clock()); }
    /// How long a change of load here takes until the other daemons know it.
    [[nodiscard]] duration news_time() const;
    /// Tells the others soon that something in the digest has changed.
    void note_change();

    /// Tokens of the customers' rates.
    token_exchange& tokens() { return m_tokens; }

    /// Tokens of a customer and route that wait at other daemons.
    [[nodiscard]] std::uint64_t waiting_elsewhere(std::uint64_t customer_and_route) const;
    /// Whether a daemon that was heard lately is answered by the key-value service.
    [[nodiscard]] bool any_peer_has_store() const;
    /// Whether a daemon was heard within \p age and said that it reaches the key-value service.
    [[nodiscard]] bool hears_with_store(std::string_view host, duration age) const;
    /// Whether a daemon was heard within \p age.
    [[nodiscard]] bool heard_within(std::string_view host, duration age) const;
    /// Whether datagrams from \p endpoint (`IP:PORT`) arrive without another daemon's help, so that
    /// calls to it are likely to arrive, too.
    [[nodiscard]] bool hears_directly(std::string_view endpoint) const;

private:
    /// How a digest came.
    struct digest_origin {
        net::udp::endpoint from;
        /// Whether another daemon passed it on in a bundle.
        bool in_bundle = false;
        /// Whether that daemon is of another zone.
        bool from_other_zone = false;
    };
    net::task<> run();
    void receive(std::string_view bytes, const net::udp::endpoint& from);
    void receive_digest(std::string_view bytes, const digest_origin& origin);
    void receive_bundle(std::string_view body, const net::udp::endpoint& from);
    void receive_token_request(std::string_view body, const net::udp::endpoint& from);
    void receive_token_transfer(std::string_view body, const net::udp::endpoint& from);
    void note_malformed(const net::udp::endpoint& from);
    /// Keeps a new digest for the daemons that it is to be passed on to.
    void collect(const load_digest& digest, std::string_view bytes, const digest_origin& origin);
    void note_revisions(const load_digest& digest, const digest_origin& origin);
    void receive_relay_request(std::string_view body, const net::udp::endpoint& from);
    [[nodiscard]] std::string own_digest();
    /// Reads the directory into the lists of endpoints.
    void refresh_peers();
    void send_to(const std::vector<net::udp::endpoint>& peers, std::string_view bytes);
    [[nodiscard]] bool uses_gateways() const {
        return m_other_zones.endpoints.size() > m_options.max_direct_peers;
    }
    void tell_own_zone();
    void tell_other_zones();
    [[nodiscard]] gateway_hooks make_gateway_hooks();

    net::asio::any_io_executor m_executor;
    link_options m_options;
    clock_fn m_clock;
    observe::decision_log& m_log;
    routing::fleet_load& m_loads;
    store::mirror& m_mirrors;
    net::udp_socket m_socket;
    net::notification m_wake;
    peer_group m_own_zone;
    peer_group m_other_zones;
    bool m_stopped = false;
    std::uint64_t m_sequence = 0;
    directory m_directory;
    std::vector<net::udp::endpoint> m_seed_endpoints;
    peer_table m_peers;
    heard_endpoints m_heard_from;
    digest_relay m_relay;
    token_exchange m_tokens;
    /// Daemons that may hold tokens of customers' rates.
    std::vector<net::udp::endpoint> m_fronts;
    gateway_duty m_gateway;
    time_point m_refreshed_at{};
};

} // namespace eelgrassdoor::fleet
