#include "base/text.hpp"
#include "entry/online_proxy.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Shorter waits are those behind a request that is just being placed.
constexpr duration min_logged_wait = milliseconds(20);

} // namespace

bool online_proxy::may_find_place(const running_request& run) const {
    const bool is_served = run.constraints.version
                               ? m_context.loads.serves(run.service, *run.constraints.version)
                               : m_context.loads.serves(run.service);
    return is_served && !run.caller_exchange.client_disconnected() &&
           m_context.loads.count_places(run.service, run.constraints, m_context.clock()).places > 0;
}

routing::placement_request online_proxy::make_placement_request(const running_request& run) const {
    const config::serving_plan& plan = *m_context.plan;
    const auto customer = plan.customers.find(run.customer);
    const bool is_known = customer != plan.customers.end();
    const double rate = is_known ? customer->second.rate_per_second : 0;
    const duration time_left = run.deadline - m_context.clock();
    routing::placement_request out{
        .customer = run.customer,
        .weight = rate > 0 ? rate : 1,
        .customer_priority = is_known ? customer->second.priority : 0,
        .route_priority = run.route.priority,
        .timing = {.time_left = time_left,
                   .elapsed = run.route.timeout - time_left,
                   .objective = run.route.latency_objective,
                   .service_time = m_context.service_times.mean(run.route.name)},
        .wake = [wake = run.place_wake] { wake->notify(); }};
    if (run.constraints.version) {
        out.patience = std::min(resume_patience, time_left);
    }
    return out;
}

net::task<std::optional<routing::fleet_target>> online_proxy::wait_in_queue(running_request& run) {
    routing::placement_queue& queue = m_queues.of(run.service);
    if (queue.size() == 0) {
        std::optional<routing::fleet_target> target = co_await pick_target(run);
        if (target) {
            co_return target;
        }
    }
    if (!may_find_place(run)) {
        co_return std::nullopt;
    }
    run.place_wake = std::make_shared<net::notification>(m_context.executor);
    const time_point asked_at = m_context.clock();
    const routing::online_places room =
        m_context.loads.count_places(run.service, run.constraints, asked_at);
    const bool is_only = queue.size() == 0;
    const routing::placement_decision decision =
        queue.enqueue(make_placement_request(run),
                      {.places = room.places, .held = room.held, .daemons = room.daemons}, asked_at,
                      m_context.random);
    std::optional<routing::fleet_target> target;
    std::string_view outcome = "refused";
    if (decision.id == 0) {
        run.retry_after = decision.retry_after;
    } else {
        m_queues.watch();
        m_queues.update_gauge();
        const bool is_first = !is_only && queue.first(asked_at) == decision.id;
        if (is_first) {
            run.place_wake->notify();
        }
        target = co_await wait_for_place(run, decision.id, is_first);
        const bool left = run.caller_exchange.client_disconnected();
        outcome = left ? "left" : target ? "placed" : "expired";
    }
    run.place_wake.reset();
    m_context.metrics.count(str_cat("placement_waits_total{outcome=\"", outcome, "\"}"));
    const duration waited = m_context.clock() - asked_at;
    if (decision.id != 0 && waited >= min_logged_wait) {
        m_context.log.write(observe::event::place_waited, run.request.id,
                            {{"outcome", std::string(outcome)},
                             {"customer", run.customer},
                             {"waited_ms", std::to_string(to_ms(waited))},
                             {"predicted_ms", std::to_string(to_ms(decision.predicted))},
                             {"waiting", std::to_string(queue.size())}});
    }
    co_return target;
}

net::task<std::optional<routing::fleet_target>>
online_proxy::wait_for_place(running_request& run, routing::placement_id id, bool is_first) {
    routing::placement_queue& queue = m_queues.of(run.service);
    const std::shared_ptr<net::notification> wake = run.place_wake;
    const time_point end = queue.end_of_wait(id);
    // A request that lacks targets which others may use must not hold those up.
    const bool is_constrained = run.constraints.version || !run.constraints.excluded.empty();
    std::optional<routing::fleet_target> target;
    bool may_take_any = is_first;
    while (!target) {
        const bool woken = co_await wake->wait_until(end);
        if (!woken || !queue.contains(id) || m_context.clock() >= end || !may_find_place(run)) {
            break;
        }
        const routing::online_places room =
            m_context.loads.count_places(run.service, run.constraints, m_context.clock());
        // One that comes first of all at once is as free to take a place as one that never waited.
        if (may_take_any || m_queues.may_take(run.service, id, room)) {
            target = co_await pick_target(run);
        }
        may_take_any = false;
        if (!target && is_constrained && queue.contains(id)) {
            m_queues.wake_next(run.service, id);
        }
    }
    if (target) {
        m_queues.record_taken(run.service);
    }
    queue.leave(id);
    m_queues.update_gauge();
    // Continues only after this request has been counted at its target.
    m_queues.wake_first(run.service);
    co_return target;
}

} // namespace eelgrassdoor::entry
