#include "service/target_service.hpp"

#include "base/text.hpp"

#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassdoor::service {

namespace {

constexpr duration poll_interval = milliseconds(250);
constexpr duration poll_timeout = milliseconds(1000);
constexpr double hold_time_smoothing = 0.1;
constexpr std::size_t max_queued_polls = 1000;

} // namespace

target_service::target_service(daemon_context& context, member_service& members)
    : m_context(context), m_members(members), m_online_load_hook([](const std::string&) {}),
      m_batch_stream_counter([](const std::string&) { return 0U; }),
      m_view(context.settings.availability_zone), m_random(context.incarnation) {}

void target_service::start() {
    m_poller.start(poll_interval, [this] { poll_targets(); });
}

void target_service::stop() {
    m_poller.stop();
}

http::client_pool& target_service::client_pool_for(std::string_view endpoint) {
    const absl::MutexLock lock(&m_pools_mutex);
    auto found = m_pools.find(endpoint);
    if (found == m_pools.end()) {
        found = m_pools
                    .emplace(std::string(endpoint),
                             std::make_unique<http::client_pool>(endpoint, http::client_options{},
                                                                 m_context.clock))
                    .first;
    }
    return *found->second;
}

void target_service::set_host_list(const platform::host_list& list) {
    std::vector<routing::target_info> targets;
    for (const platform::listed_host& h : list.hosts) {
        if (h.kind != platform::host_kind::entry) {
            targets.push_back({h.host,
                               h.http_endpoint(),
                               h.availability_zone,
                               h.leaving,
                               {h.serves.begin(), h.serves.end()}});
        }
    }
    const absl::MutexLock lock(&m_mutex);
    m_view.set_targets(targets);
    assign_waiters();
}

void target_service::apply_load_report(const peer::target_report& report) {
    const time_point observed = m_context.clock() - milliseconds(report.age_ms);
    const absl::MutexLock lock(&m_mutex);
    if (m_view.record_report(report.target, {report.running, report.waiting, report.slots,
                                             report.running_batch, observed})) {
        assign_waiters();
    }
}

std::vector<peer::target_report> target_service::reports_to_send(std::size_t max_count) {
    std::vector<peer::target_report> out;
    const time_point now = m_context.clock();
    const absl::MutexLock lock(&m_mutex);
    const auto& targets = m_view.targets();
    const std::size_t count = std::min(max_count, targets.size());
    for (std::size_t i = 0; i < count; ++i) {
        m_report_cursor = (m_report_cursor + 1) % targets.size();
        const auto& [name, t] = *std::next(targets.begin(), static_cast<long>(m_report_cursor));
        if (t.report.slots == 0) {
            continue;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - t.report.observed_at);
        out.push_back({name, t.report.running, t.report.waiting, t.report.slots,
                       t.report.running_batch, static_cast<std::uint32_t>(age.count())});
    }
    return out;
}

void target_service::poll_targets() {
    // Each target of the zone is polled by one daemon; the others get its load by gossip.
    std::vector<std::pair<std::string, std::string>> zone_targets;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto& [name, t] : m_view.targets()) {
            if (t.info.availability_zone == m_context.settings.availability_zone) {
                zone_targets.emplace_back(name, t.info.endpoint);
            }
        }
    }
    for (const auto& zone_target : zone_targets) {
        const std::string& name = zone_target.first;
        const std::string& endpoint = zone_target.second;
        const bool polled_here = m_members.with_table([&](const membership::member_table& table) {
            const membership::member_record* owner =
                table.owner_in_zone(table.self().availability_zone, name);
            return owner == nullptr || owner->host == table.self().host;
        });
        if (polled_here) {
            m_context.workers.submit([this, name, endpoint] { poll_target(name, endpoint); },
                                     max_queued_polls);
        }
    }
    const absl::MutexLock lock(&m_mutex);
    assign_waiters();
}

void target_service::poll_target(const std::string& name, const std::string& endpoint) {
    if (m_context.drop_list.drops_either_direction(endpoint)) {
        return;
    }
    http::client_pool::lease client = client_pool_for(endpoint).acquire();
    client->set_read_timeout(poll_timeout);
    const time_point query_sent_at = m_context.clock();
    const httplib::Result answer = client->Get("/load");
    if (!answer || answer->status != 200) {
        return;
    }
    const nlohmann::json load = nlohmann::json::parse(answer->body, nullptr, false);
    if (!load.is_object()) {
        return;
    }
    client.return_to_pool();
    const auto number = [&load](const char* field) -> std::uint32_t {
        return load.contains(field) && load[field].is_number_unsigned()
                   ? load[field].get<std::uint32_t>()
                   : 0;
    };
    // Engines state how old their report is; without that, the time of the request counts.
    const std::uint32_t batch = m_batch_stream_counter(name);
    const time_point observed = query_sent_at - milliseconds(number("lag_ms"));
    const absl::MutexLock lock(&m_mutex);
    if (m_view.record_report(
            name, {number("running"), number("waiting"), number("slots"), batch, observed})) {
        assign_waiters();
    }
}

std::optional<routing::picked_target>
target_service::try_pick(const target_lease_request& request) {
    const routing::pick_request criteria{request.serves, request.prefix_hash, request.excluded,
                                         request.may_exceed_slots};
    std::optional<routing::picked_target> picked =
        m_view.pick(criteria, m_context.clock(), m_random);
    if (picked) {
        m_view.record_sent(picked->name);
    }
    return picked;
}

duration target_service::expected_wait(const target_lease_request& request) {
    const double slots = std::max<std::uint32_t>(1, m_view.slots_of(request.serves));
    const auto ahead =
        static_cast<double>(m_queues[request.serves].ahead_of(request.customer, request.weight));
    return from_seconds((ahead + 1) * m_mean_hold_s / slots);
}

void target_service::assign_waiters() {
    const time_point now = m_context.clock();
    for (auto& [serves, queue] : m_queues) {
        for (const std::uint64_t id : queue.expire(now)) {
            m_waiters.at(id)->expired = true;
        }
        while (const std::optional<std::uint64_t> id = queue.front()) {
            waiter& next = *m_waiters.at(*id);
            const auto picked = try_pick(*next.request);
            if (!picked) {
                break;
            }
            queue.pop();
            next.target = *picked;
            next.assigned = true;
        }
    }
}

result<routing::picked_target>
target_service::wait_for_target(const target_lease_request& request) {
    const absl::MutexLock lock(&m_mutex);
    m_retries.record_request();
    if (!m_view.serves(request.serves)) {
        return error{error_code::unavailable, "no live target serves \"" + request.serves + "\"",
                     run_state::not_run, seconds(2)};
    }
    routing::fair_queue& queue = m_queues[request.serves];
    if (queue.size() == 0) {
        if (const auto picked = try_pick(request)) {
            return *picked;
        }
    }
    const time_point now = m_context.clock();
    const duration wait = expected_wait(request);
    const std::uint64_t id = m_next_waiter++;
    if (now + wait > request.deadline ||
        !queue.push(id, request.customer, request.weight, request.deadline)) {
        return error{error_code::overloaded, "all targets are busy", run_state::not_run, wait};
    }
    waiter self{&request};
    m_waiters[id] = &self;
    const auto done = [&self] { return self.assigned || self.expired; };
    m_mutex.AwaitWithTimeout(absl::Condition(&done), absl::FromChrono(request.deadline - now));
    m_waiters.erase(id);
    if (self.assigned) {
        return self.target;
    }
    queue.remove(id);
    return error{error_code::overloaded, "all targets are busy", run_state::not_run,
                 expected_wait(request)};
}

result<target_lease> target_service::acquire(const target_lease_request& request) {
    BOOST_OUTCOME_TRY(target, wait_for_target(request));
    const time_point sent_at = m_context.clock();
    const std::string name = target.name;
    m_online_load_hook(name);
    return target_lease([this, name, sent_at](bool failed) { release(name, sent_at, failed); },
                        std::move(target));
}

void target_service::release(const std::string& target, time_point sent_at, bool failed) {
    const time_point now = m_context.clock();
    {
        const absl::MutexLock lock(&m_mutex);
        m_view.record_ended(target, sent_at);
        if (failed) {
            m_view.record_failure(target, now);
        } else {
            m_mean_hold_s += hold_time_smoothing * (to_seconds(now - sent_at) - m_mean_hold_s);
        }
        assign_waiters();
    }
    m_online_load_hook(target);
}

bool target_service::try_retry() {
    const absl::MutexLock lock(&m_mutex);
    return m_retries.try_take();
}

} // namespace eelgrassdoor::service
