/// \file
/// Defines what daemons tell each other by datagrams.
#pragma once

#include "base/clock.hpp"
#include "fleet/directory.hpp"
#include "fleet/message.hpp"
#include "limits/customer_shares.hpp"
#include "net/notification.hpp"
#include "net/udp_socket.hpp"
#include "observe/decision_log.hpp"
#include "routing/fleet_load.hpp"
#include "store/mirror.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::fleet {

struct link_options {
    member self;
    /// `IP:PORT` of daemons to tell of this one before any member is known.
    std::vector<std::string> seeds;
    /// Changes of load are told at most this often to a group of up to peers_at_change_interval
    /// daemons, and less often to a larger one, so that what a daemon sends does not grow with the
    /// fleet. A third of the time in which a slot frees in a full fleet of the first users' size.
    duration change_interval = milliseconds(30);
    std::size_t peers_at_change_interval = 24;
    /// An unchanged digest is repeated this often.
    duration repeat_interval = milliseconds(500);
    /// Endpoints (`IP:PORT`) whose datagrams are dropped: cuts of the network, in tests.
    std::function<bool(std::string_view)> is_cut_off = [](std::string_view) { return false; };
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
    /// Tells the others soon that something in the digest has changed.
    void note_change();

    /// Takes a token of the customer's rate, if need be from other daemons.
    net::task<bool> take_token(std::string customer);
    /// When a token of the customer's rate is likely to be there.
    duration until_token(std::string_view customer) {
        return m_shares.until_next(customer, m_clock());
    }

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
    /// A daemon that gets copies of another one's digests for a while.
    struct relay_target {
        net::udp::endpoint endpoint;
        time_point until{};
    };
    /// Daemons that are told changes equally often: those of the own zone, and all others.
    struct peer_group {
        bool changed = true;
        time_point sent_at{};
    };
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at{};
        bool reaches_store = false;
        std::vector<waiting_tokens> waiting;
    };

    net::task<> run();
    void receive(std::string_view bytes, const net::udp::endpoint& from);
    void note_heard_from(const net::udp::endpoint& from);
    void receive_digest(std::string_view bytes, const net::udp::endpoint& from);
    void receive_token_request(std::string_view body, const net::udp::endpoint& from);
    void receive_transfer(std::string_view body);
    void receive_relay_request(std::string_view body, const net::udp::endpoint& from);
    /// Passes a digest on to the daemons that asked for it.
    void relay(const std::string& host, std::string_view bytes);
    /// Asks others for the digests of members that are not heard.
    void ask_for_relays();
    [[nodiscard]] std::string own_digest();
    /// Sends a digest to a group when that is due.
    void send_when_due(peer_group& group, bool own_zone);
    void send_to(const std::vector<net::udp::endpoint>& peers);
    [[nodiscard]] std::vector<net::udp::endpoint> peer_endpoints(bool own_zone) const;
    [[nodiscard]] duration interval_for(std::size_t peers) const;

    net::asio::any_io_executor m_executor;
    link_options m_options;
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
    directory m_directory;
    std::vector<net::udp::endpoint> m_seed_endpoints;
    std::map<std::string, peer_state, std::less<>> m_peers;
    /// When a datagram came from an endpoint last.
    std::map<std::string, time_point, std::less<>> m_heard_from;
    std::map<std::string, std::vector<relay_target>, std::less<>> m_relays;
    time_point m_asked_for_relays{};
    std::size_t m_next_helper = 0;
    /// Requests that wait for tokens of a customer.
    std::map<std::string, std::vector<std::shared_ptr<net::notification>>, std::less<>> m_waiters;
};

} // namespace eelgrassdoor::fleet
