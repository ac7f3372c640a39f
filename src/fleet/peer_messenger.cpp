#include "base/digest.hpp"
#include "base/text.hpp"
#include "fleet/peer_messenger.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// A member that was not heard for this long is asked for at other daemons and is no gateway: twice
/// the interval in which unchanged digests are repeated.
constexpr duration silence_before_relay = milliseconds(1000);
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
      m_own_zone(m_options.intervals), m_other_zones(m_options.intervals),
      m_seed_endpoints(to_endpoints(m_options.seeds)),
      m_relay(m_options.self.host,
              [this](const net::udp::endpoint& to, std::string_view datagram) {
                  m_socket.send(datagram, to);
              }),
      m_tokens(m_clock, shares), m_gateway(m_options.self, make_gateway_hooks()) {
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

duration link::news_time() const {
    const duration own = m_own_zone.change_interval();
    // Gateways collect what their zone tells and pass it on to those of other zones, which tell it
    // in turn.
    return uses_gateways() ? 3 * own : std::max(own, m_other_zones.change_interval());
}

void link::note_change() {
    m_own_zone.note_change();
    m_other_zones.note_change();
    m_wake.notify();
}

void link::send_to(const std::vector<net::udp::endpoint>& peers, std::string_view bytes) {
    for (const net::udp::endpoint& endpoint : peers) {
        m_socket.send(bytes, endpoint);
    }
}

void link::tell_own_zone() {
    if (!m_own_zone.take_turn(m_clock())) {
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
        if (m_other_zones.take_turn(m_clock())) {
            send_to(m_other_zones.endpoints, own_digest());
        }
        return;
    }
    // Their gateways hear of this daemon's load from those of the own zone.
    m_other_zones.forget_change();
    if (m_options.self.runs_jobs && m_other_zones.take_turn(m_clock())) {
        send_to(m_other_zones.endpoints, to_datagram(presence{}));
    }
}

net::task<> link::run() {
    while (!m_stopped) {
        if (m_clock() - m_refreshed_at >= m_options.intervals.repeat) {
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
        // A change waits until the last digest is that old.
        co_await net::sleep_for(m_options.intervals.change);
        if (!m_own_zone.has_change() && !m_other_zones.has_change() && !m_gateway.has_news()) {
            co_await m_wake.wait_until(m_clock() + m_options.intervals.repeat);
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
    digest.leaving = m_loads.leaving();
    digest.ends = m_stopped;
    digest.reaches_store = reaches_store && reaches_store();
    if (own_waiting) {
        digest.waiting = own_waiting();
    }
    return to_datagram(digest);
}

bool link::hears_directly(std::string_view endpoint) const {
    const result<net::tcp::endpoint> parsed = net::parse_endpoint(endpoint);
    return parsed && m_heard_from.contains(to_udp(parsed.value()), m_clock());
}

void link::receive(std::string_view bytes, const net::udp::endpoint& from) {
    if (m_options.is_cut_off && m_options.is_cut_off(to_text(from))) {
        return;
    }
    if (bytes.size() < 2 || bytes[0] != protocol_version) {
        note_malformed(from);
        return;
    }
    m_heard_from.note(from, m_clock());
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
        receive_token_transfer(body, from);
        break;
    case relay_request::kind:
        receive_relay_request(body, from);
        break;
    default:
        note_malformed(from);
    }
}

void link::note_malformed(const net::udp::endpoint& from) {
    m_log.write(observe::event::message_dropped, "", {{"from", to_text(from)}});
}

void link::receive_bundle(std::string_view body, const net::udp::endpoint& from) {
    const auto bundle = peer::decode<digest_bundle>(body);
    if (!bundle) {
        note_malformed(from);
        return;
    }
    const digest_origin origin{.from = from,
                               .in_bundle = true,
                               .from_other_zone =
                                   bundle->availability_zone != m_options.self.availability_zone};
    for (const std::string& datagram : bundle->datagrams) {
        const bool is_digest = datagram.size() > 2 && datagram[0] == protocol_version &&
                               static_cast<std::uint8_t>(datagram[1]) == load_digest::kind;
        if (!is_digest) {
            note_malformed(from);
            continue;
        }
        receive_digest(datagram, origin);
    }
}

void link::receive_digest(std::string_view bytes, const digest_origin& origin) {
    const auto digest = peer::decode<load_digest>(bytes.substr(2));
    if (!digest) {
        note_malformed(origin.from);
        return;
    }
    if (digest->host == m_options.self.host) {
        return;
    }
    if (!m_peers.take_in(*digest, m_clock())) {
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
    m_loads.note_peer(digest->host, told_shares(digest->targets), m_clock());
    for (const routing::leaving_start& each : digest->leaving) {
        m_loads.note_leaving(each);
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
    } else if (!origin.in_bundle &&
               m_directory.is_in_zone(digest.host, m_options.self.availability_zone)) {
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
    if (!request) {
        note_malformed(from);
        return;
    }
    if (m_directory.knows(request->host, m_clock())) {
        m_relay.note_request(request->host, from, m_clock());
    }
}

void link::receive_token_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<token_request>(body);
    if (!request) {
        note_malformed(from);
        return;
    }
    const std::string transfer = m_tokens.lend(*request);
    if (!transfer.empty()) {
        m_socket.send(transfer, from);
    }
}

void link::receive_token_transfer(std::string_view body, const net::udp::endpoint& from) {
    const auto transfer = peer::decode<token_transfer>(body);
    if (!transfer) {
        note_malformed(from);
        return;
    }
    m_tokens.receive(*transfer);
}

std::uint64_t link::waiting_elsewhere(std::uint64_t customer_and_route) const {
    return m_peers.waiting(customer_and_route);
}

bool link::any_peer_has_store() const {
    return m_peers.any_with_store(routing::fleet_load::peer_load_lifetime, m_clock());
}

bool link::hears_with_store(std::string_view host, duration age) const {
    return m_peers.hears_with_store(host, age, m_clock());
}

bool link::heard_within(std::string_view host, duration age) const {
    return m_peers.heard_within(host, age, m_clock());
}

} // namespace eelgrassdoor::fleet
