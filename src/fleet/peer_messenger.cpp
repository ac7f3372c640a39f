#include "fleet/peer_messenger.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// The digests of a member that was not heard for this long are requested from other daemons, and
/// it is no longer chosen as a gateway. Twice the interval at which unchanged digests are repeated.
constexpr duration peer_silence_timeout = milliseconds(1000);

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

std::vector<routing::peer_target_load>
to_peer_loads(const std::vector<target_load_counts>& counts) {
    std::vector<routing::peer_target_load> out;
    out.reserve(counts.size());
    for (const target_load_counts& count : counts) {
        out.push_back({count.target, {count.online, count.batch, count.stalled, count.broken}});
    }
    return out;
}

std::string to_text(const net::udp::endpoint& endpoint) {
    return str_cat(endpoint.address().to_string(), ":", endpoint.port());
}

} // namespace

peer_messenger::peer_messenger(net::asio::any_io_executor executor, peer_messenger_options options,
                               clock_fn clock, observe::decision_log& log,
                               routing::fleet_load& loads, store::mirror& mirrors,
                               limits::customer_shares& shares)
    : m_executor(std::move(executor)), m_options(std::move(options)), m_clock(std::move(clock)),
      m_log(log), m_loads(loads), m_mirrors(mirrors), m_shares(shares), m_socket(m_executor),
      m_wake(m_executor), m_own_zone(m_options.intervals), m_other_zones(m_options.intervals),
      m_seed_endpoints(to_endpoints(m_options.seeds)),
      m_relay(m_options.self.host,
              [this](const net::udp::endpoint& to, std::string_view datagram) {
                  m_socket.send(datagram, to);
              }),
      m_limiter(m_executor, m_clock, boot_clock(), m_options.self, shares,
                [this](std::string_view datagram, const net::udp::endpoint& to) {
                    m_socket.send(datagram, to);
                }),
      m_permits(m_executor, m_clock, boot_clock(), m_options.self, loads,
                [this](std::string_view datagram, const net::udp::endpoint& to) {
                    m_socket.send(datagram, to);
                }),
      m_streams(m_executor, m_clock, m_options.self, log,
                [this](std::string_view datagram, const net::udp::endpoint& to) {
                    m_socket.send(datagram, to);
                }),
      m_gateway(m_options.self, make_gateway_hooks()) {
    m_limiter.request_update = [this] { apply_limits(m_limits); };
}

result<void> peer_messenger::start() {
    if (m_socket.is_open()) {
        return success();
    }
    BOOST_OUTCOME_TRY(own, net::parse_endpoint(m_options.self.endpoint));
    BOOST_OUTCOME_TRY(
        m_socket.open(to_udp(own), [this](std::string_view bytes, const net::udp::endpoint& from) {
            receive(bytes, from);
        }));
    net::asio::co_spawn(m_executor, run(), net::asio::detached);
    return success();
}

void peer_messenger::stop() {
    m_stopped = true;
    const std::string last = make_own_digest();
    send_to(m_own_zone.endpoints, last);
    send_to(m_other_zones.endpoints, last);
    m_wake.notify();
    m_socket.close();
}

void peer_messenger::set_members(const std::vector<member>& members) {
    m_directory.set_registered(members, m_clock());
    m_peers.set_registered(m_directory.registered());
    refresh_peers();
}

void peer_messenger::refresh_peers() {
    m_refreshed_at = m_clock();
    const member_map all = m_directory.active_members(m_refreshed_at);
    m_gateway.set_members(all);
    m_own_zone.endpoints.clear();
    m_other_zones.endpoints.clear();
    for (const auto& [host, each] : all) {
        const result<net::tcp::endpoint> parsed = net::parse_endpoint(each.endpoint);
        if (host == m_options.self.host || !parsed) {
            continue;
        }
        const net::udp::endpoint endpoint = to_udp(parsed.value());
        const bool same_zone = each.availability_zone == m_options.self.availability_zone;
        (same_zone ? m_own_zone : m_other_zones).endpoints.push_back(endpoint);
    }
}

void peer_messenger::apply_limits(const limits::customer_limits& limits) {
    m_limits = limits;
    // A daemon that does not know the other members would take the whole rates for its own.
    if (m_mirrors.revision(member_prefix) == 0) {
        m_shares.set_limits(limits);
        return;
    }
    const member_map members = active_members();
    const auto is_heard = [this](std::string_view host) {
        return heard_within(host, peer_silence_timeout);
    };
    m_limiter.update(limits, members, is_heard);
    m_permits.update(members, is_heard);
    m_streams.update(members, is_heard);
}

duration peer_messenger::load_propagation_delay() const {
    const duration own = m_own_zone.change_interval();
    // Three hops: to the gateways of the own zone, those of the other zones, and the daemons there.
    return uses_gateways() ? 3 * own : std::max(own, m_other_zones.change_interval());
}

void peer_messenger::schedule_digest() {
    m_own_zone.mark_changed();
    m_other_zones.mark_changed();
    m_wake.notify();
}

void peer_messenger::send_to(const std::vector<net::udp::endpoint>& peers, std::string_view bytes) {
    for (const net::udp::endpoint& endpoint : peers) {
        m_socket.send(bytes, endpoint);
    }
}

void peer_messenger::send_digest_to_own_zone() {
    if (!m_own_zone.mark_sent_if_due(m_clock())) {
        return;
    }
    const std::string digest = make_own_digest();
    send_to(m_own_zone.endpoints, digest);
    if (uses_gateways()) {
        m_gateway.collect_outgoing(m_options.self.host, digest);
    }
}

void peer_messenger::send_digest_to_other_zones() {
    if (!uses_gateways()) {
        if (m_other_zones.mark_sent_if_due(m_clock())) {
            send_to(m_other_zones.endpoints, make_own_digest());
        }
        return;
    }
    // The gateways of the own zone forward this daemon's load to those of the other zones.
    m_other_zones.clear_change();
    if (m_options.self.runs_jobs && m_other_zones.mark_sent_if_due(m_clock())) {
        send_to(m_other_zones.endpoints, to_datagram(heartbeat{}));
    }
}

net::task<> peer_messenger::run() {
    while (!m_stopped) {
        if (m_clock() - m_refreshed_at >= m_options.intervals.repeat) {
            refresh_peers();
        }
        if (m_own_zone.endpoints.empty() && m_other_zones.endpoints.empty()) {
            send_to(m_seed_endpoints, make_own_digest());
        }
        send_digest_to_own_zone();
        send_digest_to_other_zones();
        m_gateway.forward(m_clock());
        if (m_relay.is_request_due(m_clock())) {
            const auto is_heard = [this](std::string_view host) {
                return heard_within(host, peer_silence_timeout);
            };
            m_relay.request_relays(m_directory.active_members(m_clock()), is_heard, m_clock());
        }
        // Limits the rate of digests: a change is sent at the earliest after this interval.
        co_await net::sleep_for(m_options.intervals.change);
        if (!m_own_zone.has_change() && !m_other_zones.has_change() && !m_gateway.has_pending()) {
            co_await m_wake.wait_until(m_clock() + m_options.intervals.repeat);
        }
    }
}

gateway_hooks peer_messenger::make_gateway_hooks() {
    return {.is_heard =
                [this](std::string_view host) {
                    return host == m_options.self.host || heard_within(host, peer_silence_timeout);
                },
            .send =
                [this](const member& to, std::string_view datagram) {
                    send_to(to_endpoints({to.endpoint}), datagram);
                },
            .send_to_own_zone =
                [this](std::string_view datagram) { send_to(m_own_zone.endpoints, datagram); }};
}

bool peer_messenger::receives_directly_from(std::string_view endpoint) const {
    const result<net::tcp::endpoint> parsed = net::parse_endpoint(endpoint);
    return parsed && m_recent_senders.contains(to_udp(parsed.value()), m_clock());
}

void peer_messenger::receive(std::string_view bytes, const net::udp::endpoint& from) {
    if (m_options.is_cut_off && m_options.is_cut_off(to_text(from))) {
        return;
    }
    if (bytes.size() < 2 || bytes[0] != protocol_version) {
        log_malformed(from);
        return;
    }
    m_recent_senders.record_datagram(from, m_clock());
    const std::string_view body = bytes.substr(2);
    switch (static_cast<std::uint8_t>(bytes[1])) {
    case load_digest::kind:
        receive_digest(bytes, {.from = from});
        break;
    case digest_bundle::kind:
        receive_bundle(body, from);
        break;
    case heartbeat::kind:
        break;
    case relay_request::kind:
        receive_relay_request(body, from);
        break;
    default:
        if (!m_permits.receive(static_cast<std::uint8_t>(bytes[1]), body, from) &&
            !m_streams.receive(static_cast<std::uint8_t>(bytes[1]), body, from) &&
            !m_limiter.receive(static_cast<std::uint8_t>(bytes[1]), body, from)) {
            log_malformed(from);
        }
    }
}

void peer_messenger::log_malformed(const net::udp::endpoint& from) {
    m_log.write(observe::event::message_dropped, "", {{"from", to_text(from)}});
}

void peer_messenger::receive_bundle(std::string_view body, const net::udp::endpoint& from) {
    const auto bundle = peer::decode<digest_bundle>(body);
    if (!bundle) {
        log_malformed(from);
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
            log_malformed(from);
            continue;
        }
        receive_digest(datagram, origin);
    }
}

void peer_messenger::receive_digest(std::string_view bytes, const digest_origin& origin) {
    std::string_view body = bytes.substr(2);
    const auto digest = peer::decode_front<load_digest>(body);
    if (!digest) {
        log_malformed(origin.from);
        return;
    }
    if (digest->host == m_options.self.host) {
        return;
    }
    const std::optional<std::uint64_t> before = m_peers.incarnation_of(digest->host);
    if (!m_peers.accept(*digest, m_clock())) {
        return;
    }
    if (before && *before != digest->incarnation) {
        m_log.write(observe::event::peer_restarted, digest->host,
                    {{"incarnation", std::to_string(digest->incarnation)},
                     {"before", std::to_string(*before)}});
    }
    m_relay.relay(digest->host, bytes, m_clock());
    queue_for_forwarding(*digest, bytes, origin);
    if (digest->is_final) {
        m_loads.remove_peer(digest->host);
        m_directory.forget(digest->host);
        return;
    }
    m_directory.record_heard(digest->host, m_clock());
    m_loads.update_peer_load(digest->host, to_peer_loads(digest->targets), m_clock());
    for (const routing::target_instance& each : digest->leaving) {
        m_loads.mark_leaving(each);
    }
    receive_extensions(digest->host, body, origin.from);
    if (on_peer_load) {
        on_peer_load();
    }
    report_newer_revisions(*digest, origin);
    // A daemon that cannot register, because it does not reach the key-value service, learns from
    // this reply which daemon it can fetch the configuration from.
    if (!origin.in_bundle && !m_directory.knows(digest->host, m_clock())) {
        m_socket.send(make_own_digest(), origin.from);
    }
}

void peer_messenger::queue_for_forwarding(const load_digest& digest, std::string_view bytes,
                                          const digest_origin& origin) {
    if (!uses_gateways()) {
        return;
    }
    if (origin.from_other_zone) {
        m_gateway.collect_incoming(digest.host, bytes);
    } else if (!origin.in_bundle &&
               m_directory.is_in_zone(digest.host, m_options.self.availability_zone)) {
        m_gateway.collect_outgoing(digest.host, bytes);
    }
    if (m_gateway.has_pending()) {
        m_wake.notify();
    }
}

void peer_messenger::report_newer_revisions(const load_digest& digest,
                                            const digest_origin& origin) {
    const std::vector<std::string>& prefixes = m_mirrors.prefixes();
    for (std::size_t i = 0; i < std::min(prefixes.size(), digest.content_revisions.size()); ++i) {
        if (digest.content_revisions[i] <= m_mirrors.revision(prefixes[i]) || !on_newer_revision) {
            continue;
        }
        const member_map& members = m_directory.registered();
        const auto sender = members.find(digest.host);
        const bool is_registered = sender != members.end();
        const bool same_zone =
            is_registered && sender->second.availability_zone == m_options.self.availability_zone;
        // The daemon that forwarded a bundle may not have the newer revision itself.
        const std::string endpoint =
            origin.in_bundle && is_registered ? sender->second.endpoint : to_text(origin.from);
        on_newer_revision({endpoint, prefixes[i], digest.content_revisions[i], same_zone});
    }
}

void peer_messenger::receive_relay_request(std::string_view body, const net::udp::endpoint& from) {
    const auto request = peer::decode<relay_request>(body);
    if (!request) {
        log_malformed(from);
        return;
    }
    if (m_directory.knows(request->host, m_clock())) {
        m_relay.record_request(request->host, from, m_clock());
    }
}

std::uint64_t peer_messenger::peer_waiting_tokens(std::uint64_t customer_and_route,
                                                  const peer_table::owns_jobs_fn& owns_jobs) const {
    return m_peers.sum_waiting_tokens(customer_and_route, owns_jobs);
}

bool peer_messenger::any_peer_reaches_store() const {
    return m_peers.any_peer_reaches_store(routing::fleet_load::peer_load_lifetime, m_clock());
}

bool peer_messenger::peer_reaches_store(std::string_view host, duration age) const {
    return m_peers.peer_reaches_store(host, age, m_clock());
}

std::size_t peer_messenger::heard_peers() const {
    return m_peers.count_heard_within(peer_silence_timeout, m_clock());
}

bool peer_messenger::heard_within(std::string_view host, duration age) const {
    return m_peers.heard_within(host, age, m_clock());
}

} // namespace eelgrassdoor::fleet
