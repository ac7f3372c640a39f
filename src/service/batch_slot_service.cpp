#include "peer/codec.hpp"
#include "service/batch_slot_service.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration repeat_interval = milliseconds(500);
constexpr duration ask_timeout = milliseconds(100);

/// The size of a target and the reserve of the models that it serves.
struct lane_size {
    std::uint32_t slots = 0;
    double reserve_percent = 0;
    std::string zone;
};

lane_size size_of(const routing::target_view& view, const config::document_ptr& doc,
                  const std::string& target) {
    const auto found = view.targets().find(target);
    lane_size out;
    if (found == view.targets().end() || found->second.info.leaving) {
        return out;
    }
    out.slots = found->second.report.slots;
    out.zone = found->second.info.availability_zone;
    for (const std::string& served : found->second.info.serves) {
        const auto model = doc->parsed.models.find(served);
        if (model != doc->parsed.models.end()) {
            out.reserve_percent =
                std::max(out.reserve_percent, model->second.batch_reserve_percent);
        }
    }
    return out;
}

} // namespace

lane_service::lane_service(runtime& shared, member_service& members, target_service& targets)
    : m_shared(shared), m_members(members), m_targets(targets),
      m_change_hook([](const std::string&, std::uint32_t) {}) {
    m_shared.node.handle(peer::message_type::online_load,
                         [this](const peer::envelope& e, std::string_view) {
                             if (const auto load = peer::decode<peer::online_load>(e.body)) {
                                 apply_online(e.sender, *load);
                             }
                             return std::optional<std::string>();
                         });
    m_shared.node.handle(
        peer::message_type::lane_ask, [this](const peer::envelope& e, std::string_view) {
            const auto ask = peer::decode<peer::lane_ask>(e.body);
            return ask ? std::optional(peer::encode(answer(e.sender, *ask))) : std::nullopt;
        });
    m_shared.node.handle(peer::message_type::lane_change,
                         [this](const peer::envelope& e, std::string_view) {
                             if (const auto change = peer::decode<peer::lane_change>(e.body)) {
                                 m_change_hook(change->target, change->granted);
                             }
                             return std::optional<std::string>();
                         });
}

void lane_service::start() {
    m_ticker.start(repeat_interval, [this] { repeat_online(); });
}

lane_service::lane_owner lane_service::owner_of(const std::string& target) const {
    const std::string zone = m_targets.with_view([&target](const routing::target_view& view) {
        const auto found = view.targets().find(target);
        return found == view.targets().end() ? std::string() : found->second.info.availability_zone;
    });
    return m_members.with_table([&](const membership::member_table& table) {
        const membership::member_record* r = table.owner_in_zone(zone, target);
        return r == nullptr ? lane_owner{} : lane_owner{r->host, r->peer_endpoint()};
    });
}

batch::lane& lane_service::lane_of(const std::string& target) {
    return m_lanes[target];
}

void lane_service::note_online(const std::string& target) {
    const int in_flight = m_targets.with_view([&target](const routing::target_view& view) {
        const auto found = view.targets().find(target);
        return found == view.targets().end() ? 0 : found->second.own.in_flight;
    });
    {
        const absl::MutexLock lock(&m_mutex);
        if (in_flight > 0) {
            m_online_targets.insert(target);
        } else {
            m_online_targets.erase(target);
        }
    }
    const peer::online_load load{target, static_cast<std::uint32_t>(in_flight)};
    const lane_owner owner = owner_of(target);
    if (owner.host == m_shared.settings.host) {
        apply_online(owner.host, load);
    } else if (!owner.host.empty()) {
        m_shared.node.send(owner.endpoint, peer::message_type::online_load, peer::encode(load));
    }
}

void lane_service::repeat_online() {
    std::set<std::string> targets;
    {
        const absl::MutexLock lock(&m_mutex);
        targets = m_online_targets;
    }
    for (const std::string& target : targets) {
        note_online(target);
    }
}

void lane_service::apply_online(const std::string& from_host, const peer::online_load& load) {
    std::vector<batch::grant_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        changes = lane_of(load.target).note_online(from_host, load.in_flight, m_shared.clock());
    }
    for (const batch::grant_change& c : changes) {
        m_shared.numbers.count("lane_changes_total");
        if (c.owner == m_shared.settings.host) {
            m_change_hook(load.target, c.granted);
            continue;
        }
        const std::string endpoint =
            m_members.with_table([&c](const membership::member_table& table) {
                const membership::member* m = table.find(c.owner);
                return m == nullptr ? std::string() : m->record.peer_endpoint();
            });
        if (!endpoint.empty()) {
            m_shared.node.send(endpoint, peer::message_type::lane_change,
                               peer::encode(peer::lane_change{load.target, c.granted}));
        }
    }
}

peer::lane_answer lane_service::answer(const std::string& from_host, const peer::lane_ask& ask) {
    const config::document_ptr doc = m_shared.configuration.get();
    if (doc == nullptr || owner_of(ask.target).host != m_shared.settings.host) {
        return {};
    }
    const lane_size size = m_targets.with_view(
        [&](const routing::target_view& view) { return size_of(view, doc, ask.target); });
    const absl::MutexLock lock(&m_mutex);
    batch::lane& l = lane_of(ask.target);
    l.configure(size.slots, size.reserve_percent);
    return {true, l.ask(from_host, ask.in_use, ask.want, ask.weight, m_shared.clock())};
}

std::map<std::string, std::uint32_t> lane_service::ask(const std::vector<lane_wish>& wishes) {
    std::map<std::string, std::uint32_t> granted;
    std::vector<peer::outgoing_call> calls;
    std::vector<std::string> target_of_call;
    for (const lane_wish& w : wishes) {
        const peer::lane_ask message{w.target, w.in_use, w.want, w.weight};
        const lane_owner owner = owner_of(w.target);
        if (owner.host == m_shared.settings.host) {
            granted[w.target] = answer(owner.host, message).granted;
        } else if (!owner.host.empty()) {
            calls.push_back({owner.endpoint, peer::message_type::lane_ask, peer::encode(message)});
            target_of_call.push_back(w.target);
        }
    }
    m_shared.node.call_many(calls, ask_timeout, [&](std::size_t i, const std::string& body) {
        const auto reply = peer::decode<peer::lane_answer>(body);
        if (reply && reply->runs_lane) {
            granted[target_of_call[i]] = reply->granted;
        }
        return false;
    });
    return granted;
}

std::uint32_t lane_service::batch_streams(const std::string& target) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_lanes.find(target);
    return found == m_lanes.end() ? 0 : found->second.granted();
}

} // namespace eelgrassdoor::service
