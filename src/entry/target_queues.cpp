#include "entry/target_queues.hpp"

#include "net/notification.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Range of the delay with which a daemon acts on another's report, so that those that see the same
/// place do not all take it. Loads are reported again within this time after a change.
constexpr duration max_report_delay = milliseconds(40);
/// Interval of the wakes by time; a quarter of the time until a target's first backoff ends.
constexpr duration time_wake_interval = milliseconds(125);

} // namespace

target_queues::target_queues(serving::service_context& context) : m_context(context) {
    if (context.queues_requests) {
        context.loads.on_room = [this](routing::room_source source) { on_room(source); };
    }
}

routing::placement_queue& target_queues::of(const std::string& service) {
    return m_queues[service].queue;
}

void target_queues::wake_first(const std::string& service) {
    routing::placement_queue& queue = of(service);
    if (const auto id = queue.first(m_context.clock())) {
        queue.wake(*id);
    }
}

void target_queues::wake_next(const std::string& service, routing::placement_id id) {
    routing::placement_queue& queue = of(service);
    if (const auto next = queue.next_after(id, m_context.clock())) {
        queue.wake(*next);
    }
}

std::size_t target_queues::size() const {
    std::size_t out = 0;
    for (const auto& [service, each] : m_queues) {
        out += each.queue.size();
    }
    return out;
}

void target_queues::update_gauge() {
    m_context.metrics.gauge("requests_waiting_for_place", static_cast<double>(size()));
}

void target_queues::wake_all_first() {
    for (const auto& [service, each] : m_queues) {
        wake_first(service);
    }
}

bool target_queues::may_take(const std::string& service, routing::placement_id id,
                             const routing::online_places& room) {
    service_queue& each = m_queues[service];
    const bool needs_idle = each.queue.needs_idle_target(id, m_context.clock());
    return each.allowance > 0 && (!needs_idle || room.idle_targets > 0);
}

void target_queues::record_taken(const std::string& service) {
    int& allowance = m_queues[service].allowance;
    allowance = std::max(0, allowance - 1);
}

void target_queues::share_free_places() {
    for (auto& [service, each] : m_queues) {
        const routing::online_places room =
            m_context.loads.count_places(service, {}, m_context.clock());
        each.allowance = routing::part_of_free_places(room.free, room.daemons, m_context.random);
    }
}

void target_queues::on_room(routing::room_source source) {
    if (size() == 0) {
        return;
    }
    if (source == routing::room_source::own_request) {
        // The service of the ended request is not known; each may look once.
        for (auto& [service, each] : m_queues) {
            ++each.allowance;
        }
        wake_all_first();
    } else if (!m_has_report) {
        m_has_report = true;
        net::asio::co_spawn(m_context.executor, wake_after_report(), net::asio::detached);
    }
}

net::task<> target_queues::wake_after_report() {
    co_await net::sleep_for(
        from_seconds(to_seconds(max_report_delay) * m_context.random.uniform()));
    m_has_report = false;
    share_free_places();
    wake_all_first();
}

void target_queues::watch() {
    if (!m_is_watching) {
        m_is_watching = true;
        net::asio::co_spawn(m_context.executor, wake_by_time(), net::asio::detached);
    }
}

net::task<> target_queues::wake_by_time() {
    while (size() > 0) {
        co_await net::sleep_for(time_wake_interval);
        share_free_places();
        wake_all_first();
    }
    m_is_watching = false;
}

} // namespace eelgrassdoor::entry
