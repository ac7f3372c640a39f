#include "service/batch_slot_service.hpp"

#include "peer/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration load_resend_interval = milliseconds(500);
constexpr duration request_timeout = milliseconds(100);

/// The slots of a target and the largest batch reserve of the models that it serves.
struct allocator_params {
    std::uint32_t slots = 0;
    double reserve_percent = 0;
    std::string zone;
};

allocator_params allocator_params_of(const routing::target_view& view,
                                     const config::document_ptr& doc, const std::string& target) {
    const auto found = view.targets().find(target);
    allocator_params out;
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

batch_slot_service::batch_slot_service(daemon_context& context, member_service& members,
                                       target_service& targets)
    : m_context(context), m_members(members), m_targets(targets),
      m_grant_change_hook([](const std::string&, std::uint32_t) {}) {
    m_context.transport.handle(peer::message_type::online_load,
                               [this](const peer::envelope& e, std::string_view) {
                                   if (const auto load = peer::decode<peer::online_load>(e.body)) {
                                       apply_online_load(e.sender, *load);
                                   }
                                   return std::optional<std::string>();
                               });
    m_context.transport.handle(
        peer::message_type::batch_grant_request, [this](const peer::envelope& e, std::string_view) {
            const auto request = peer::decode<peer::batch_grant_request>(e.body);
            return request ? std::optional(peer::encode(grant_slots(e.sender, *request)))
                           : std::nullopt;
        });
    m_context.transport.handle(
        peer::message_type::batch_grant_change, [this](const peer::envelope& e, std::string_view) {
            if (const auto change = peer::decode<peer::batch_grant_change>(e.body)) {
                m_grant_change_hook(change->target, change->granted);
            }
            return std::optional<std::string>();
        });
}

void batch_slot_service::start() {
    m_ticker.start(load_resend_interval, [this] { resend_online_loads(); });
}

batch_slot_service::allocator_host
batch_slot_service::allocator_of(const std::string& target) const {
    const std::string zone = m_targets.with_view([&target](const routing::target_view& view) {
        const auto found = view.targets().find(target);
        return found == view.targets().end() ? std::string() : found->second.info.availability_zone;
    });
    return m_members.with_table([&](const membership::member_table& table) {
        const membership::member_record* r = table.owner_in_zone(zone, target);
        return r == nullptr ? allocator_host{} : allocator_host{r->host, r->peer_endpoint()};
    });
}

batch::slot_allocator& batch_slot_service::find_or_create_allocator(const std::string& target) {
    return m_allocators[target];
}

void batch_slot_service::report_online_load(const std::string& target) {
    const int in_flight = m_targets.with_view([&target](const routing::target_view& view) {
        const auto found = view.targets().find(target);
        return found == view.targets().end() ? 0 : found->second.local.in_flight;
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
    const allocator_host allocator = allocator_of(target);
    if (allocator.host == m_context.settings.host) {
        apply_online_load(allocator.host, load);
    } else if (!allocator.host.empty()) {
        m_context.transport.send(allocator.endpoint, peer::message_type::online_load,
                                 peer::encode(load));
    }
}

void batch_slot_service::resend_online_loads() {
    std::set<std::string> targets;
    {
        const absl::MutexLock lock(&m_mutex);
        targets = m_online_targets;
    }
    for (const std::string& target : targets) {
        report_online_load(target);
    }
}

void batch_slot_service::apply_online_load(const std::string& from_host,
                                           const peer::online_load& load) {
    std::vector<batch::grant_change> changes;
    {
        const absl::MutexLock lock(&m_mutex);
        changes = find_or_create_allocator(load.target)
                      .update_online(from_host, load.in_flight, m_context.clock());
    }
    for (const batch::grant_change& c : changes) {
        m_context.metrics.count("lane_changes_total");
        if (c.owner == m_context.settings.host) {
            m_grant_change_hook(load.target, c.granted);
            continue;
        }
        const std::string endpoint =
            m_members.with_table([&c](const membership::member_table& table) {
                const membership::member* m = table.find(c.owner);
                return m == nullptr ? std::string() : m->record.peer_endpoint();
            });
        if (!endpoint.empty()) {
            m_context.transport.send(
                endpoint, peer::message_type::batch_grant_change,
                peer::encode(peer::batch_grant_change{load.target, c.granted}));
        }
    }
}

peer::batch_grant_response
batch_slot_service::grant_slots(const std::string& from_host,
                                const peer::batch_grant_request& request) {
    const config::document_ptr doc = m_context.configuration.get();
    if (doc == nullptr || allocator_of(request.target).host != m_context.settings.host) {
        return {};
    }
    const allocator_params params = m_targets.with_view([&](const routing::target_view& view) {
        return allocator_params_of(view, doc, request.target);
    });
    const absl::MutexLock lock(&m_mutex);
    batch::slot_allocator& allocator = find_or_create_allocator(request.target);
    allocator.configure(params.slots, params.reserve_percent);
    return {true, allocator.request_slots(from_host, request.in_use, request.want, request.weight,
                                          m_context.clock())};
}

std::map<std::string, std::uint32_t>
batch_slot_service::request_slots(const std::vector<batch_slot_request>& requests) {
    std::map<std::string, std::uint32_t> granted;
    std::vector<peer::outgoing_call> calls;
    std::vector<std::string> target_of_call;
    for (const batch_slot_request& request : requests) {
        const peer::batch_grant_request message{request.target, request.in_use, request.want,
                                                request.weight};
        const allocator_host allocator = allocator_of(request.target);
        if (allocator.host == m_context.settings.host) {
            granted[request.target] = grant_slots(allocator.host, message).granted;
        } else if (!allocator.host.empty()) {
            calls.push_back({allocator.endpoint, peer::message_type::batch_grant_request,
                             peer::encode(message)});
            target_of_call.push_back(request.target);
        }
    }
    m_context.transport.call_many(
        calls, request_timeout, [&](std::size_t i, const std::string& body) {
            const auto reply = peer::decode<peer::batch_grant_response>(body);
            if (reply && reply->is_allocator) {
                granted[target_of_call[i]] = reply->granted;
            }
            return false;
        });
    return granted;
}

std::uint32_t batch_slot_service::granted_batch_streams(const std::string& target) const {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_allocators.find(target);
    return found == m_allocators.end() ? 0 : found->second.granted();
}

} // namespace eelgrassdoor::service
