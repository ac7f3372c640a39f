#include "fleet/link.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// How long a request waits for tokens of other daemons. Far above a round trip between zones, far
/// below a quarter of the shortest latency objective, within which a refusal helps the caller.
constexpr duration token_wait = milliseconds(25);

/// A member that was not heard for this long is asked for at other daemons: twice the interval in
/// which unchanged digests are repeated.
constexpr duration silence_before_relay = milliseconds(1000);
/// An endpoint that was not heard for this long is taken to be out of reach: a lost datagram must
/// not make it so.
constexpr duration direct_silence = milliseconds(1100);
/// Endpoints that are remembered; above this, those that are silent are forgotten.
constexpr std::size_t max_heard_endpoints = 2048;
/// How often others are asked, and for how long they relay afterwards.
constexpr duration relay_ask_interval = milliseconds(700);
constexpr duration relay_time = milliseconds(1600);
/// Daemons that are asked for the digests of one that is not heard.
constexpr std::size_t relay_helpers = 2;
/// Daemons that one digest is relayed to.
constexpr std::size_t max_relay_targets = 16;

net::udp::endpoint to_udp(const net::tcp::endpoint& endpoint) {
    return {endpoint.address(), endpoint.port()};
}

std::vector<net::udp::endpoint> to_endpoints(const std::vector<std::string>& texts) {
    std::vector<net::udp::endpoint> out;
    for (const std::string& text : texts) {
        if (const result<net::tcp::endpoint> endpoint = net::parse_endpoint(text)) {
            out.push_back(to_udp(endpoint.value()));
        }
    }
    return out;
}

std::vector<routing::told_share> told_shares(const std::vector<target_count>& counts) {
    std::vector<routing::told_share> out;
    out.reserve(counts.size());
    for (const target_count& count : counts) {
        out.push_back({count.target, {count.online, count.batch}});
    }
    return out;
}

std::string to_text(const net::udp::endpoint& endpoint) {
    return str_cat(endpoint.address().to_string(), ":", endpoint.port());
}

} // namespace

link::link(net::asio::any_io_executor executor, link_options options, clock_fn clock,
           observe::decision_log& log, routing::fleet_load& loads, store::mirror& mirrors,
           limits::customer_shares& shares)
    : m_executor(std::move(executor)), m_options(std::move(options)), m_clock(std::move(clock)),
      m_log(log), m_loads(loads), m_mirrors(mirrors), m_shares(shares), m_socket(m_executor),
      m_wake(m_executor), m_seed_endpoints(to_endpoints(m_options.seeds)) {}

result<void> link::start() {
    BOOST_OUTCOME_TRY(own, net::parse_endpoint(m_options.self.endpoint));
    BOOST_OUTCOME_TRY(
        m_socket.open(to_udp(own), [this](std::string_view bytes, const net::udp::endpoint& from) {
            receive(bytes, from);
        }));
    net::asio::co_spawn(m_executor, run(), net::asio::detached);
    return success();
}

void link::stop() {
    m_stopped = true;
    send_to(peer_endpoints(true));
    send_to(peer_endpoints(false));
    m_wake.notify();
    m_socket.close();
}

void link::set_members(const std::vector<member>& members) {
    m_directory.set_registered(members, m_clock());
}

std::vector<net::udp::endpoint> link::peer_endpoints(bool own_zone) const {
    std::vector<std::string> endpoints;
    for (const auto& [host, each] : m_directory.reachable(m_clock())) {
        const bool same_zone = each.availability_zone == m_options.self.availability_zone;
        if (host != m_options.self.host && same_zone == own_zone) {
            endpoints.push_back(each.endpoint);
        }
    }
    return to_endpoints(endpoints);
}

void link::note_change() {
    m_own_zone.changed = true;
    m_other_zones.changed = true;
    m_wake.notify();
}

duration link::interval_for(std::size_t peers) const {
    const double groups =
        static_cast<double>(peers) / static_cast<double>(m_options.peers_at_change_interval);
    return from_seconds(to_seconds(m_options.change_interval) * std::max(1.0, groups));
}

void link::send_to(const std::vector<net::udp::endpoint>& peers) {
    if (peers.empty()) {
        return;
    }
    const std::string bytes = own_digest();
    for (const net::udp::endpoint& endpoint : peers) {
        m_socket.send(bytes, endpoint);
    }
}

void link::send_when_due(peer_group& group, bool own_zone) {
    const duration age = m_clock() - group.sent_at;
    const std::vector<net::udp::endpoint> peers = peer_endpoints(own_zone);
    const duration interval =
        group.changed ? interval_for(peers.size()) : m_options.repeat_interval;
    if (age < interval) {
        return;
    }
    group = {false, m_clock()};
    send_to(peers);
}

net::task<> link::run() {
    while (!m_stopped) {
        if (m_directory.reachable(m_clock()).size() <= 1) {
            send_to(m_seed_endpoints);
        }
        send_when_due(m_own_zone, true);
        send_when_due(m_other_zones, false);
        ask_for_relays();
        // A change waits until the last digest is change_interval old.
        co_await net::sleep_for(m_options.change_interval);
        if (!m_own_zone.changed && !m_other_zones.changed) {
            co_await m_wake.wait_until(m_clock() + m_options.repeat_interval);
        }
    }
}

std::string link::own_digest() {
    load_digest digest;
    digest.host = m_options.self.host;
    digest.incarnation = m_options.self.incarnation;
    digest.sequence = ++m_sequence;
    for (const std::string& prefix : m_mirrors.prefixes()) {
        digest.known_revisions.push_back(m_mirrors.content_revision(prefix));
    }
    for (const auto& [id, share] : m_loads.own()) {
        digest.targets.push_back({stable_hash(id), static_cast<std::uint16_t>(share.online),
                                  static_cast<std::uint16_t>(share.batch)});
    }
    for (const routing::leaving_start& each : m_loads.leaving()) {
        digest.leaving.push_back({each.target, each.started_at});
    }
    digest.ends = m_stopped;
    digest.reaches_store = reaches_store && reaches_store();
    if (own_waiting) {
        digest.waiting = own_waiting();
    }
    return to_datagram(digest);
}

void link::note_heard_from(const net::udp::endpoint& from) {
    const time_point now = m_clock();
    if (m_heard_from.size() >= max_heard_endpoints) {
        std::erase_if(m_heard_from,
                      [&](const auto& entry) { return now - entry.second > direct_silence; });
    }
    m_heard_from[to_text(from)] = now;
}

bool link::hears_directly(std::string_view endpoint) const {
    const auto found = m_heard_from.find(endpoint);
    return found != m_heard_from.end() && m_clock() - found->second <= direct_silence;
}

void link::receive(std::string_view bytes, const net::udp::endpoint& from) {
    if (m_options.is_cut_off(to_text(from))) {
        return;
    }
    if (bytes.size() < 2 || bytes[0] != protocol_version) {
        m_log.write(observe::event::message_dropped, "", {{"from", to_text(from)}});
        return;
    }
    note_heard_from(from);
    const std::string_view body = bytes.substr(2);
    switch (static_cast<std::uint8_t>(bytes[1])) {
    case load_digest::kind:
        receive_digest(bytes, from);
        break;
    case token_request::kind:
        receive_token_request(body, from);
        break;
    case token_transfer::kind:
        receive_transfer(body);
        break;
    case relay_request::kind:
        receive_relay_request(body, from);
        break;
    default:
        m_log.write(observe::event::message_dropped, "", {{"from", to_text(from)}});
    }
}

void link::receive_digest(std::string_view bytes, const net::udp::endpoint& from) {
    const auto digest = peer::decode<load_digest>(bytes.substr(2));
    if (!digest || digest->host == m_options.self.host) {
        return;
    }
    peer_state& known = m_peers[digest->host];
    const bool older =
        digest->incarnation < known.incarnation ||
        (digest->incarnation == known.incarnation && digest->sequence <= known.sequence);
    if (older) {
        return;
    }
    relay(digest->host, bytes);
    if (digest->ends) {
        m_loads.forget_peer(digest->host);
        m_directory.forget(digest->host);
        return;
    }
    m_directory.note_heard(digest->host, m_clock());
    known = {digest->incarnation, digest->sequence, m_clock(), digest->reaches_store,
             digest->waiting};
    m_loads.note_peer(digest->host, told_shares(digest->targets), m_clock());
    for (const leaving_target& each : digest->leaving) {
        m_loads.note_leaving({each.target, each.started_at});
    }
    if (on_peer_load) {
        on_peer_load();
    }
    const std::vector<std::string>& prefixes = m_mirrors.prefixes();
    for (std::size_t i = 0; i < std::min(prefixes.size(), digest->known_revisions.size()); ++i) {
        if (digest->known_revisions[i] > m_mirrors.revision(prefixes[i]) && on_newer_revision) {
            const member_map& members = m_directory.registered();
            const auto sender = members.find(digest->host);
            const bool same_zone = sender != members.end() && sender->second.availability_zone ==
                                                                  m_options.self.availability_zone;
            on_newer_revision({to_text(from), prefixes[i], digest->known_revisions[i], same_zone});
        }
    }
    // A daemon that is not registered, because it cannot reach the key-value service, learns from
    // an answer who can tell it the configuration.
    if (!m_directory.knows(digest->host, m_clock())) {
        m_socket.send(own_digest(), from);
    }
}

void link::receive_relay_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<relay_request>(body);
    if (!request || !m_directory.knows(request->host, m_clock())) {
        return;
    }
    std::vector<relay_target>& targets = m_relays[request->host];
    const time_point now = m_clock();
    std::erase_if(targets, [&](const relay_target& each) {
        return each.until <= now || each.endpoint == from;
    });
    if (targets.size() < max_relay_targets) {
        targets.push_back({from, now + relay_time});
    }
}

void link::relay(const std::string& host, std::string_view bytes) {
    const auto found = m_relays.find(host);
    if (found == m_relays.end()) {
        return;
    }
    for (const relay_target& target : found->second) {
        if (target.until > m_clock()) {
            m_socket.send(bytes, target.endpoint);
        }
    }
}

void link::ask_for_relays() {
    const time_point now = m_clock();
    if (now - m_asked_for_relays < relay_ask_interval) {
        return;
    }
    m_asked_for_relays = now;
    const member_map all = m_directory.reachable(now);
    std::vector<const member*> heard;
    for (const auto& [host, each] : all) {
        if (heard_within(host, silence_before_relay)) {
            heard.push_back(&each);
        }
    }
    for (const auto& [host, each] : all) {
        if (host == m_options.self.host || heard_within(host, silence_before_relay)) {
            continue;
        }
        const std::string request = to_datagram(relay_request{host});
        // Another helper each time: one may be cut off from the member as well.
        for (std::size_t i = 0; i < std::min(relay_helpers, heard.size()); ++i) {
            const member& helper = *heard[m_next_helper++ % heard.size()];
            if (const auto endpoint = net::parse_endpoint(helper.endpoint)) {
                m_socket.send(request, to_udp(endpoint.value()));
            }
        }
    }
}

void link::receive_token_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<token_request>(body);
    if (!request) {
        return;
    }
    const double amount = m_shares.lend(request->customer, request->want, m_clock());
    if (amount > 0) {
        m_socket.send(to_datagram(token_transfer{request->customer, amount}), from);
    }
}

void link::receive_transfer(std::string_view body) {
    const auto transfer = peer::decode<token_transfer>(body);
    if (!transfer) {
        return;
    }
    m_shares.receive(transfer->customer, transfer->amount);
    const auto waiting = m_waiters.find(transfer->customer);
    if (waiting == m_waiters.end()) {
        return;
    }
    for (const std::shared_ptr<net::notification>& waiter : waiting->second) {
        waiter->notify();
    }
}

net::task<bool> link::take_token(std::string customer) {
    if (m_shares.try_take(customer, m_clock())) {
        co_return true;
    }
    if (m_shares.may_ask(customer, m_clock())) {
        const std::string request =
            to_datagram(token_request{customer, m_shares.tokens_to_ask(customer)});
        for (const auto& [host, each] : m_directory.reachable(m_clock())) {
            const result<net::tcp::endpoint> endpoint = net::parse_endpoint(each.endpoint);
            if (each.serves_callers && host != m_options.self.host && endpoint) {
                m_socket.send(request, to_udp(endpoint.value()));
            }
        }
    }
    const time_point give_up = m_clock() + token_wait;
    const auto waiter = std::make_shared<net::notification>(m_executor);
    m_waiters[customer].push_back(waiter);
    bool taken = false;
    bool notified = true;
    while (!taken && notified) {
        notified = co_await waiter->wait_until(give_up);
        taken = notified && m_shares.try_take(customer, m_clock());
    }
    std::erase(m_waiters[customer], waiter);
    co_return taken;
}

std::uint64_t link::waiting_elsewhere(std::uint64_t customer_and_route) const {
    std::uint64_t sum = 0;
    for (const auto& [host, peer] : m_peers) {
        for (const waiting_tokens& each : peer.waiting) {
            sum += each.customer_and_route == customer_and_route ? each.tokens : 0;
        }
    }
    return sum;
}

bool link::any_peer_has_store() const {
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.reaches_store &&
               m_clock() - entry.second.heard_at <= routing::fleet_load::peer_load_lifetime;
    });
}

bool link::hears_with_store(std::string_view host, duration age) const {
    const auto found = m_peers.find(host);
    return found != m_peers.end() && found->second.reaches_store &&
           m_clock() - found->second.heard_at <= age;
}

bool link::heard_within(std::string_view host, duration age) const {
    const auto found = m_peers.find(host);
    return found != m_peers.end() && m_clock() - found->second.heard_at <= age;
}

} // namespace eelgrassdoor::fleet
