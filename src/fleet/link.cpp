#include "fleet/link.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// A member that was not heard for this long is asked for at other daemons: twice the interval in
/// which unchanged digests are repeated.
constexpr duration silence_before_relay = milliseconds(1000);
/// An endpoint that was not heard for this long is taken to be out of reach: a lost datagram must
/// not make it so.
constexpr duration direct_silence = milliseconds(1100);
/// Endpoints that are remembered; above this, those that are silent are forgotten.
constexpr std::size_t max_heard_endpoints = 2048;

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
        out.push_back({count.target, {count.online, count.batch, count.stalled, count.broken}});
    }
    return out;
}

/// Above a few, such a count decides no differently.
std::uint8_t to_byte(int count) {
    return static_cast<std::uint8_t>(std::clamp(count, 0, 255));
}

std::string to_text(const net::udp::endpoint& endpoint) {
    return str_cat(endpoint.address().to_string(), ":", endpoint.port());
}

} // namespace

link::link(net::asio::any_io_executor executor, link_options options, clock_fn clock,
           observe::decision_log& log, routing::fleet_load& loads, store::mirror& mirrors,
           limits::customer_shares& shares)
    : m_executor(std::move(executor)), m_options(std::move(options)), m_clock(std::move(clock)),
      m_log(log), m_loads(loads), m_mirrors(mirrors), m_socket(m_executor), m_wake(m_executor),
      m_seed_endpoints(to_endpoints(m_options.seeds)),
      m_relay(m_options.self.host,
              [this](const net::udp::endpoint& to, std::string_view datagram) {
                  m_socket.send(datagram, to);
              }),
      m_tokens(m_executor, m_clock, shares), m_gateway(m_options.self, make_gateway_hooks()) {
    m_tokens.ask_others = [this](std::string_view datagram) { send_to(m_fronts, datagram); };
}

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
    const std::string last = own_digest();
    send_to(m_own_zone.endpoints, last);
    send_to(m_other_zones.endpoints, last);
    m_wake.notify();
    m_socket.close();
}

void link::set_members(const std::vector<member>& members) {
    m_directory.set_registered(members, m_clock());
    refresh_peers();
}

void link::refresh_peers() {
    m_refreshed_at = m_clock();
    const member_map all = m_directory.reachable(m_refreshed_at);
    m_gateway.set_members(all);
    m_own_zone.endpoints.clear();
    m_other_zones.endpoints.clear();
    m_fronts.clear();
    for (const auto& [host, each] : all) {
        const result<net::tcp::endpoint> parsed = net::parse_endpoint(each.endpoint);
        if (host == m_options.self.host || !parsed) {
            continue;
        }
        const net::udp::endpoint endpoint = to_udp(parsed.value());
        const bool same_zone = each.availability_zone == m_options.self.availability_zone;
        (same_zone ? m_own_zone : m_other_zones).endpoints.push_back(endpoint);
        if (each.serves_callers) {
            m_fronts.push_back(endpoint);
        }
    }
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

void link::send_to(const std::vector<net::udp::endpoint>& peers, std::string_view bytes) {
    for (const net::udp::endpoint& endpoint : peers) {
        m_socket.send(bytes, endpoint);
    }
}

bool link::is_due(peer_group& group) const {
    const duration age = m_clock() - group.sent_at;
    const duration interval =
        group.changed ? interval_for(group.endpoints.size()) : m_options.repeat_interval;
    if (age < interval) {
        return false;
    }
    group.changed = false;
    group.sent_at = m_clock();
    return true;
}

void link::tell_own_zone() {
    if (!is_due(m_own_zone)) {
        return;
    }
    const std::string digest = own_digest();
    send_to(m_own_zone.endpoints, digest);
    if (uses_gateways()) {
        m_gateway.collect_outgoing(m_options.self.host, digest);
    }
}

void link::tell_other_zones() {
    if (!uses_gateways()) {
        if (is_due(m_other_zones)) {
            send_to(m_other_zones.endpoints, own_digest());
        }
        return;
    }
    // Their gateways hear of this daemon's load from those of the own zone.
    m_other_zones.changed = false;
    if (m_options.self.runs_jobs && is_due(m_other_zones)) {
        send_to(m_other_zones.endpoints, to_datagram(presence{}));
    }
}

net::task<> link::run() {
    while (!m_stopped) {
        if (m_clock() - m_refreshed_at >= m_options.repeat_interval) {
            refresh_peers();
        }
        if (m_own_zone.endpoints.empty() && m_other_zones.endpoints.empty()) {
            send_to(m_seed_endpoints, own_digest());
        }
        tell_own_zone();
        tell_other_zones();
        m_gateway.pass_on(m_clock());
        if (m_relay.is_ask_due(m_clock())) {
            const auto is_heard = [this](std::string_view host) {
                return heard_within(host, silence_before_relay);
            };
            m_relay.ask(m_directory.reachable(m_clock()), is_heard, m_clock());
        }
        // A change waits until the last digest is change_interval old.
        co_await net::sleep_for(m_options.change_interval);
        if (!m_own_zone.changed && !m_other_zones.changed && !m_gateway.has_news()) {
            co_await m_wake.wait_until(m_clock() + m_options.repeat_interval);
        }
    }
}

gateway_hooks link::make_gateway_hooks() {
    return {.is_heard =
                [this](std::string_view host) {
                    return host == m_options.self.host || heard_within(host, silence_before_relay);
                },
            .send =
                [this](const member& to, std::string_view datagram) {
                    send_to(to_endpoints({to.endpoint}), datagram);
                },
            .send_to_own_zone =
                [this](std::string_view datagram) { send_to(m_own_zone.endpoints, datagram); }};
}

std::string link::own_digest() {
    load_digest digest;
    digest.host = m_options.self.host;
    digest.incarnation = m_options.self.incarnation;
    digest.sequence = ++m_sequence;
    for (const std::string& prefix : m_mirrors.prefixes()) {
        digest.known_revisions.push_back(m_mirrors.content_revision(prefix));
    }
    for (const auto& [id, share] : m_loads.own(m_clock())) {
        digest.targets.push_back({stable_hash(id), static_cast<std::uint16_t>(share.online),
                                  static_cast<std::uint16_t>(share.batch), to_byte(share.stalled),
                                  to_byte(share.broken)});
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
    m_heard_from[from] = now;
}

bool link::hears_directly(std::string_view endpoint) const {
    const result<net::tcp::endpoint> parsed = net::parse_endpoint(endpoint);
    if (!parsed) {
        return false;
    }
    const auto found = m_heard_from.find(to_udp(parsed.value()));
    return found != m_heard_from.end() && m_clock() - found->second <= direct_silence;
}

void link::receive(std::string_view bytes, const net::udp::endpoint& from) {
    if (m_options.is_cut_off && m_options.is_cut_off(to_text(from))) {
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
        receive_digest(bytes, {.from = from});
        break;
    case digest_bundle::kind:
        receive_bundle(body, from);
        break;
    case presence::kind:
        break;
    case token_request::kind:
        receive_token_request(body, from);
        break;
    case token_transfer::kind:
        if (const auto transfer = peer::decode<token_transfer>(body)) {
            m_tokens.receive(*transfer);
        }
        break;
    case relay_request::kind:
        receive_relay_request(body, from);
        break;
    default:
        m_log.write(observe::event::message_dropped, "", {{"from", to_text(from)}});
    }
}

void link::receive_bundle(std::string_view body, const net::udp::endpoint& from) {
    const auto bundle = peer::decode<digest_bundle>(body);
    if (!bundle) {
        return;
    }
    const digest_origin origin{.from = from,
                               .in_bundle = true,
                               .from_other_zone =
                                   bundle->availability_zone != m_options.self.availability_zone};
    for (const std::string& datagram : bundle->datagrams) {
        const bool is_digest = datagram.size() > 2 && datagram[0] == protocol_version &&
                               static_cast<std::uint8_t>(datagram[1]) == load_digest::kind;
        if (is_digest) {
            receive_digest(datagram, origin);
        }
    }
}

void link::receive_digest(std::string_view bytes, const digest_origin& origin) {
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
    m_relay.relay(digest->host, bytes, m_clock());
    collect(*digest, bytes, origin);
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
    note_revisions(*digest, origin);
    // A daemon that is not registered, because it cannot reach the key-value service, learns from
    // an answer who can tell it the configuration.
    if (!origin.in_bundle && !m_directory.knows(digest->host, m_clock())) {
        m_socket.send(own_digest(), origin.from);
    }
}

void link::collect(const load_digest& digest, std::string_view bytes, const digest_origin& origin) {
    if (!uses_gateways()) {
        return;
    }
    if (origin.from_other_zone) {
        m_gateway.collect_incoming(digest.host, bytes);
    } else if (!origin.in_bundle && m_directory.is_in_zone(digest.host, m_options.self)) {
        m_gateway.collect_outgoing(digest.host, bytes);
    }
    if (m_gateway.has_news()) {
        m_wake.notify();
    }
}

void link::note_revisions(const load_digest& digest, const digest_origin& origin) {
    const std::vector<std::string>& prefixes = m_mirrors.prefixes();
    for (std::size_t i = 0; i < std::min(prefixes.size(), digest.known_revisions.size()); ++i) {
        if (digest.known_revisions[i] <= m_mirrors.revision(prefixes[i]) || !on_newer_revision) {
            continue;
        }
        const member_map& members = m_directory.registered();
        const auto sender = members.find(digest.host);
        const bool known = sender != members.end();
        const bool same_zone =
            known && sender->second.availability_zone == m_options.self.availability_zone;
        // Whoever passed a bundle on need not have the news itself.
        const std::string endpoint =
            origin.in_bundle && known ? sender->second.endpoint : to_text(origin.from);
        on_newer_revision({endpoint, prefixes[i], digest.known_revisions[i], same_zone});
    }
}

void link::receive_relay_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<relay_request>(body);
    if (!request || !m_directory.knows(request->host, m_clock())) {
        return;
    }
    m_relay.note_request(request->host, from, m_clock());
}

void link::receive_token_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<token_request>(body);
    if (!request) {
        return;
    }
    const std::string transfer = m_tokens.lend(*request);
    if (!transfer.empty()) {
        m_socket.send(transfer, from);
    }
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
