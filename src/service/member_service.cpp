#include "service/member_service.hpp"

#include "peer/codec.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassdoor::service {

namespace {

using membership::member_record;

constexpr int gossip_fan_out_in_zone = 2;
/// Together these keep a message within one packet.
constexpr std::size_t records_per_message = 4;
constexpr std::size_t reports_per_message = 4;
constexpr std::size_t zone_heartbeats_per_message = 48;
constexpr std::size_t other_heartbeats_per_message = 16;

member_record make_self(const runtime& shared) {
    const settings::daemon_settings& s = shared.settings;
    member_record self;
    self.host = s.host;
    self.availability_zone = s.availability_zone;
    self.address = s.address;
    self.http_port = static_cast<std::uint16_t>(s.http_port);
    self.peer_port = static_cast<std::uint16_t>(s.peer_port);
    self.incarnation = shared.incarnation;
    self.has_spool = !s.data_dir.empty();
    return self;
}

observe::event event_for(membership::member_status status) {
    switch (status) {
    case membership::member_status::live:
        return observe::event::member_joined;
    case membership::member_status::suspected:
        return observe::event::member_suspected;
    case membership::member_status::leaving:
        return observe::event::member_leaving;
    case membership::member_status::gone:
        return observe::event::member_gone;
    }
    return observe::event::member_gone;
}

} // namespace

member_service::member_service(runtime& shared, hooks to_others)
    : m_shared(shared), m_hooks(std::move(to_others)),
      m_table(make_self(shared), membership::options_for(shared.settings.gossip_interval)),
      m_random(shared.incarnation) {
    m_shared.node.handle(
        peer::message_type::gossip,
        [this](const peer::envelope& e, std::string_view) { return on_gossip(e); });
}

void member_service::start() {
    m_ticker.start(m_shared.settings.gossip_interval, [this] { round(); });
}

void member_service::update_self(const std::function<void(member_record&)>& change) {
    const absl::MutexLock lock(&m_mutex);
    change(m_table.self());
}

void member_service::set_host_list(const platform::host_list& list) {
    std::set<std::string, std::less<>> listed;
    std::set<std::string, std::less<>> leaving;
    std::vector<std::pair<std::string, std::string>> peers;
    for (const platform::listed_host& h : list.hosts) {
        if (h.kind != platform::host_kind::entry) {
            continue;
        }
        listed.insert(h.host);
        if (h.leaving) {
            leaving.insert(h.host);
        }
        peers.emplace_back(h.host, h.address + ":" + std::to_string(h.peer_port));
    }
    const absl::MutexLock lock(&m_mutex);
    m_table.merge_host_list(listed, leaving);
    m_table.self().host_list_version = list.version;
    m_listed_peers = std::move(peers);
}

std::string member_service::pack_gossip() {
    peer::gossip message;
    message.reports = m_hooks.reports_to_send(reports_per_message);
    const absl::MutexLock lock(&m_mutex);
    message.members = m_table.gossip_records(records_per_message, m_shared.clock(), m_random);
    message.heartbeats = m_table.gossip_heartbeats(zone_heartbeats_per_message,
                                                   other_heartbeats_per_message, m_random);
    return peer::encode(message);
}

void member_service::round() {
    m_shared.drops.reload();
    std::vector<std::string> peers;
    std::vector<membership::member_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        m_table.self().config_version = m_shared.configuration.version();
        m_table.self().platform_reachable = m_shared.kv.reachable();
        m_table.begin_gossip_round();
        changes = m_table.update(m_shared.clock());
        peers = m_table.gossip_peers(gossip_fan_out_in_zone, m_random);
        // First contact: one listed daemon that was never heard, and one seed.
        std::vector<std::string> unknown;
        for (const auto& [host, endpoint] : m_listed_peers) {
            if (host != m_table.self().host && m_table.find(host) == nullptr) {
                unknown.push_back(endpoint);
            }
        }
        if (!unknown.empty()) {
            peers.push_back(unknown[m_random.below(unknown.size())]);
        }
        const std::vector<std::string>& seeds = m_shared.settings.seed_peers;
        if (peers.empty() && !seeds.empty()) {
            peers.push_back(seeds[m_random.below(seeds.size())]);
        }
    }
    report_changes(changes);
    for (const std::string& peer : peers) {
        m_shared.node.send(peer, peer::message_type::gossip, pack_gossip());
    }
}

std::optional<std::string> member_service::on_gossip(const peer::envelope& e) {
    const std::optional<peer::gossip> message = peer::decode<peer::gossip>(e.body);
    if (!message) {
        m_shared.numbers.count("peer_messages_dropped_total{reason=\"malformed\"}");
        return std::nullopt;
    }
    std::vector<membership::member_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        const time_point now = m_shared.clock();
        for (const member_record& heard : message->members) {
            m_table.merge(heard, now);
        }
        for (const membership::heartbeat_digest& heard : message->heartbeats) {
            m_table.merge_heartbeat(heard, now);
        }
        changes = m_table.update(now);
    }
    report_changes(changes);
    for (const member_record& heard : message->members) {
        m_hooks.on_member(heard);
    }
    // Only the sender is known to be reachable.
    if (!message->members.empty() && message->members.front().host == e.sender) {
        m_hooks.on_sender(message->members.front());
    }
    for (const peer::target_report& report : message->reports) {
        m_hooks.on_report(report);
    }
    return std::nullopt;
}

std::string member_service::encode_members() const {
    peer::gossip message;
    message.members = with_table([](const auto& table) { return table.all_records(); });
    return peer::encode(message);
}

void member_service::take_members(std::string_view text) {
    const std::optional<peer::gossip> message = peer::decode<peer::gossip>(text);
    if (!message) {
        return;
    }
    const time_point now = m_shared.clock();
    const absl::MutexLock lock(&m_mutex);
    for (const member_record& heard : message->members) {
        m_table.merge(heard, now);
    }
}

void member_service::report_changes(const std::vector<membership::member_change>& changes) {
    for (const membership::member_change& change : changes) {
        m_shared.events.emit(event_for(change.to), change.host);
        m_hooks.on_change(change);
    }
}

void member_service::announce_leaving() {
    update_self([](member_record& self) { self.leaving = true; });
    std::vector<std::string> peers = with_table([](const membership::member_table& table) {
        std::vector<std::string> out;
        for (const auto& [host, m] : table.others()) {
            if (m.record.availability_zone == table.self().availability_zone) {
                out.push_back(m.record.peer_endpoint());
            }
        }
        return out;
    });
    {
        const absl::MutexLock lock(&m_mutex);
        m_table.begin_gossip_round();
    }
    for (const std::string& peer : peers) {
        m_shared.node.send(peer, peer::message_type::gossip, pack_gossip());
    }
}

} // namespace eelgrassdoor::service
