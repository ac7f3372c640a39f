#include "service/member_service.hpp"

#include "peer/codec.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassdoor::service {

namespace {

using membership::member_record;

constexpr int gossip_fan_out_in_zone = 2;
/// Together these limits keep a gossip message within one packet.
constexpr std::size_t records_per_message = 4;
constexpr std::size_t reports_per_message = 4;
constexpr std::size_t zone_heartbeats_per_message = 48;
constexpr std::size_t other_heartbeats_per_message = 16;

member_record make_self(const daemon_context& context) {
    const settings::daemon_settings& s = context.settings;
    member_record self;
    self.host = s.host;
    self.availability_zone = s.availability_zone;
    self.address = s.address;
    self.http_port = static_cast<std::uint16_t>(s.http_port);
    self.peer_port = static_cast<std::uint16_t>(s.peer_port);
    self.incarnation = context.incarnation;
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

member_service::member_service(daemon_context& context, hooks hooks_to_services)
    : m_context(context), m_hooks(std::move(hooks_to_services)),
      m_table(make_self(context), membership::options_for(context.settings.gossip_interval)),
      m_random(context.incarnation) {
    m_context.transport.handle(
        peer::message_type::gossip,
        [this](const peer::envelope& e, std::string_view) { return on_gossip(e); });
}

void member_service::start() {
    m_ticker.start(m_context.settings.gossip_interval, [this] { gossip_round(); });
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
    m_table.replace_host_list(listed, leaving);
    m_table.self().host_list_version = list.version;
    m_listed_peers = std::move(peers);
}

std::string member_service::encode_gossip() {
    peer::gossip message;
    message.reports = m_hooks.reports_to_send(reports_per_message);
    const absl::MutexLock lock(&m_mutex);
    message.members = m_table.gossip_records(records_per_message, m_context.clock(), m_random);
    message.heartbeats = m_table.gossip_heartbeats(zone_heartbeats_per_message,
                                                   other_heartbeats_per_message, m_random);
    return peer::encode(message);
}

void member_service::gossip_round() {
    m_context.drop_list.reload();
    std::vector<std::string> peers;
    std::vector<membership::member_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        m_table.self().config_version = m_context.configuration.version();
        m_table.self().platform_reachable = m_context.kv.reachable();
        m_table.begin_gossip_round();
        changes = m_table.update(m_context.clock());
        peers = m_table.gossip_peers(gossip_fan_out_in_zone, m_random);
        // First contact: one random listed daemon that is not in the table yet; without any peer,
        // one random seed.
        std::vector<std::string> never_heard;
        for (const auto& [host, endpoint] : m_listed_peers) {
            if (host != m_table.self().host && m_table.find(host) == nullptr) {
                never_heard.push_back(endpoint);
            }
        }
        if (!never_heard.empty()) {
            peers.push_back(never_heard[m_random.below(never_heard.size())]);
        }
        const std::vector<std::string>& seeds = m_context.settings.seed_peers;
        if (peers.empty() && !seeds.empty()) {
            peers.push_back(seeds[m_random.below(seeds.size())]);
        }
    }
    report_changes(changes);
    for (const std::string& peer : peers) {
        m_context.transport.send(peer, peer::message_type::gossip, encode_gossip());
    }
}

std::optional<std::string> member_service::on_gossip(const peer::envelope& e) {
    const std::optional<peer::gossip> message = peer::decode<peer::gossip>(e.body);
    if (!message) {
        m_context.metrics.count("peer_messages_dropped_total{reason=\"malformed\"}");
        return std::nullopt;
    }
    std::vector<membership::member_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        const time_point now = m_context.clock();
        for (const member_record& received : message->members) {
            m_table.merge(received, now);
        }
        for (const membership::heartbeat_digest& received : message->heartbeats) {
            m_table.merge_heartbeat(received, now);
        }
        changes = m_table.update(now);
    }
    report_changes(changes);
    for (const member_record& received : message->members) {
        m_hooks.on_member_record(received);
    }
    // Of the daemons in the message, only the sender is certainly reachable.
    if (!message->members.empty() && message->members.front().host == e.sender) {
        m_hooks.on_sender_record(message->members.front());
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

void member_service::merge_members(std::string_view text) {
    const std::optional<peer::gossip> message = peer::decode<peer::gossip>(text);
    if (!message) {
        return;
    }
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_mutex);
    for (const member_record& received : message->members) {
        m_table.merge(received, now);
    }
}

void member_service::report_changes(const std::vector<membership::member_change>& changes) {
    for (const membership::member_change& change : changes) {
        m_context.events.emit(event_for(change.to), change.host);
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
        m_context.transport.send(peer, peer::message_type::gossip, encode_gossip());
    }
}

} // namespace eelgrassdoor::service
