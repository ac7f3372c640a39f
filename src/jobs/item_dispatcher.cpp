#include "jobs/item_dispatcher.hpp"

#include "jobs/item_run.hpp"
#include "serving/crash_detector.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

namespace {

/// Longest time between two dispatch rounds.
constexpr duration dispatch_interval = milliseconds(200);

} // namespace

item_dispatcher::item_dispatcher(serving::service_context& context, const runner_options& options,
                                 job_table& table)
    : m_context(context), m_options(options), m_table(table),
      m_cancellations(context.executor, news_options()) {}

cancellation_news::options item_dispatcher::news_options() {
    return {.max_delay = m_options.max_cancellation_delay,
            .clock = m_context.clock,
            .is_known = m_options.knows_cancellations,
            .confirm = m_options.confirm_cancellations,
            .is_store_reachable =
                [this] {
                    return m_options.store_connected_since() != time_point::max() ||
                           m_context.messenger.any_peer_reaches_store();
                },
            .on_confirmed = [this] { m_table.dispatch_wake.notify(); }};
}

void item_dispatcher::start() {
    net::asio::co_spawn(m_context.executor, dispatch_loop(), net::asio::detached);
}

bool item_dispatcher::may_dispatch() const {
    if (m_options.registration_valid()) {
        return true;
    }
    // Without a valid registration another daemon may have adopted the jobs, unless no daemon can
    // reach the store.
    return !m_context.messenger.any_peer_reaches_store();
}

net::task<> item_dispatcher::dispatch_loop() {
    for (;;) {
        m_table.evict_finished();
        m_table.fail_expired_items();
        preempt_runs();
        m_slot_arbiter.begin_round();
        dispatch();
        const time_point latest = m_context.clock() + dispatch_interval;
        const time_point next = std::min(latest, m_slot_arbiter.next_start_time());
        co_await m_table.dispatch_wake.wait_until(next);
    }
}

void item_dispatcher::dispatch() {
    if (!may_dispatch() || m_table.draining || !m_context.plan) {
        return;
    }
    m_slot_arbiter.configure(job_daemons(), m_options.self.host,
                             m_context.messenger.load_propagation_delay());
    const time_point now = m_context.clock();
    const auto may_start = [this, now](const routing::fleet_target& each, int free) {
        return m_slot_arbiter.may_start(each, free, now);
    };
    const auto pick = [&](const std::string& service,
                          const routing::target_constraints& constraints) {
        return m_context.loads.pick_batch(service, constraints, now, m_context.random, may_start);
    };
    dispatch_round round(m_context.loads, pick, now);
    while (start_next(round)) {
    }
}

std::vector<job_daemon> item_dispatcher::job_daemons() const {
    std::vector<job_daemon> daemons;
    for (const auto& [host, each] : m_context.messenger.members()) {
        const bool alive =
            host == m_options.self.host ||
            m_context.messenger.heard_within(host, routing::fleet_load::peer_load_lifetime);
        if (each.runs_jobs && alive) {
            daemons.push_back({host, each.availability_zone});
        }
    }
    return daemons;
}

bool item_dispatcher::is_quarantined(const owned_item& item) const {
    const serving::quarantine_gate gate{
        .kind = serving::gate_kind::item,
        .suspects = serving::suspects_of(m_context.codec.decode_prompt(item.content.headers))};
    return serving::quarantine_error(m_context, gate).has_value();
}

std::optional<item_dispatcher::candidate>
item_dispatcher::next_item(const job_ptr& job, const config::serving_route& route,
                           dispatch_round& round) const {
    const bool quarantine_active = m_context.quarantine.is_active();
    const std::string drawn = config::pick_service(route, m_context.random);
    const std::optional<std::size_t> next = job->next([&](const owned_item& item) {
        return round.is_held(item, round.service_of(item, route, drawn)) ||
               (quarantine_active && is_quarantined(item));
    });
    if (!next) {
        return std::nullopt;
    }
    const owned_item& item = job->item(*next);
    candidate found{.job = job,
                    .index = *next,
                    .service = round.service_of(item, route, drawn),
                    .meets_deadline = false};
    const std::size_t events = round.goes_on(item, found.service) ? item.events : 0;
    found.meets_deadline = m_estimator.meets_deadline(events, m_context.clock(), job->due());
    return found;
}

std::vector<item_dispatcher::candidate> item_dispatcher::candidates(dispatch_round& round) {
    std::vector<candidate> found;
    bool any_meets_deadline = false;
    for (const auto& [id, job] : m_table.all()) {
        const config::serving_route* route = m_table.route_of(*job);
        if (route == nullptr) {
            continue;
        }
        std::optional<candidate> next = next_item(job, *route, round);
        if (!next) {
            continue;
        }
        any_meets_deadline = any_meets_deadline || next->meets_deadline;
        found.push_back(std::move(*next));
    }
    if (any_meets_deadline) {
        std::erase_if(found, [](const candidate& each) { return !each.meets_deadline; });
    }
    return found;
}

void item_dispatcher::begin_wait(const std::string& service, const std::string& version) {
    for (const auto& [id, job] : m_table.all()) {
        const config::serving_route* route = m_table.route_of(*job);
        const bool uses_service =
            route != nullptr && std::any_of(route->services.begin(), route->services.end(),
                                            [&](const config::weighted_service& each) {
                                                return each.service == service;
                                            });
        if (uses_service) {
            job->begin_wait(version, m_context.clock());
        }
    }
}

bool item_dispatcher::start_next(dispatch_round& round) {
    const std::vector<candidate> waiting = candidates(round);
    std::vector<batch::ready_job> ready;
    for (const candidate& each : waiting) {
        const job_state& state = each.job->record().state;
        ready.push_back({state.job, state.customer, 1, each.job->due()});
    }
    const std::optional<std::size_t> picked = m_scheduler.pick(ready);
    if (!picked) {
        return false;
    }
    const auto& [job, index, service, meets_deadline] = waiting[*picked];
    const std::optional<routing::fleet_target> target = round.place(job->item(index), service);
    if (!target) {
        if (!round.is_full(service)) {
            // Other items of the customer may start instead.
            m_scheduler.refund(job->record().state.customer);
            begin_wait(service, job->item(index).version);
        }
        return true;
    }
    if (!m_cancellations.may_start()) {
        m_context.metrics.count("item_starts_held_total");
        m_scheduler.refund(job->record().state.customer);
        return false;
    }
    auto running = std::make_shared<item_run>();
    running->job = job;
    running->index = index;
    running->started_at = m_context.clock();
    running->exchange = std::make_shared<serving::target_exchange>(m_context, *target,
                                                                   serving::work_kind::batch, true);
    running->exchange->may_send = [this] { return m_cancellations.may_send(); };
    job->mark_running(index, target->version, m_context.clock());
    m_slot_arbiter.record_start(target->id);
    m_table.running.push_back(running);
    net::asio::co_spawn(m_context.executor, run_item(running, *target), net::asio::detached);
    return true;
}

net::task<> item_dispatcher::run_item(item_run_ptr running, routing::fleet_target target) {
    const bool permitted =
        co_await m_context.messenger.permits().acquire(target, serving::work_kind::batch);
    if (!permitted || running->stopped) {
        withdraw_run(running);
        co_return;
    }
    const std::string job = running->job->record().state.job;
    const std::string item = running->job->item(running->index).content.id;
    const std::size_t earlier_events = running->job->item(running->index).events;
    m_context.log.write(observe::event::item_dispatched, item,
                        {{"job", job},
                         {"target", target.id},
                         {"version", target.version},
                         {"events", std::to_string(earlier_events)}});
    const bool first_run = earlier_events == 0;
    const bool asks_for_rest = running->job->item(running->index).has_closed_after_last_event();
    item_outcome outcome = co_await run_item_at(m_context, *running, target);
    // All that is left is to ask for what follows the last event.
    const bool has_closed = running->job->item(running->index).has_closed_after_last_event();
    if (running->stopped) {
        outcome = item_outcome::interrupted;
    } else if (!has_closed || asks_for_rest) {
        // A complete result matters here only if it is withdrawn.
        running->job->set_last_failed_target(running->index, target.id);
    }
    running->exchange.reset();
    m_table.running.remove(running);
    const config::serving_route* route = m_table.route_of(*running->job);
    const int max_attempts = route != nullptr ? route->max_attempts : 1;
    if (first_run && (outcome == item_outcome::complete || has_closed)) {
        m_estimator.record_completion(m_context.clock() - running->started_at,
                                      running->job->item(running->index).events);
    }
    running->job->finish_run(running->index, outcome, max_attempts);
    m_context.log.write(
        running->stopped ? observe::event::item_yielded : observe::event::item_finished, item,
        {{"job", job},
         {"target", target.id},
         {"outcome", std::to_string(static_cast<int>(outcome))},
         {"events", std::to_string(running->job->item(running->index).events)},
         {"ms", std::to_string(to_ms(m_context.clock() - running->started_at))}});
    m_table.dispatch_wake.notify();
    if (!running->job->uncommitted().empty()) {
        m_table.commit_wake.notify();
    }
}

void item_dispatcher::withdraw_run(const item_run_ptr& running) {
    running->exchange.reset();
    m_table.running.remove(running);
    const config::serving_route* route = m_table.route_of(*running->job);
    running->job->finish_run(running->index, item_outcome::interrupted,
                             route != nullptr ? route->max_attempts : 1);
    m_table.dispatch_wake.notify();
}

void item_dispatcher::preempt_runs() {
    std::map<std::string, int> per_target;
    for (const item_run_ptr& running : m_table.running) {
        if (running->exchange && !running->stopped) {
            ++per_target[running->exchange->target().id];
        }
    }
    for (const auto& [target, count] : per_target) {
        const int excess = m_context.loads.batch_streams_to_preempt(target, m_options.self.host,
                                                                    m_context.clock());
        preempt_runs_at(target, std::min(excess, count));
    }
}

void item_dispatcher::preempt_runs_at(const std::string& target, int count) {
    // The most recently started stream has the least memory at its target, so stopping it loses the
    // least work.
    for (auto it = m_table.running.rbegin(); it != m_table.running.rend() && count > 0; ++it) {
        item_run& running = **it;
        if (running.exchange && !running.stopped && running.exchange->target().id == target) {
            running.stop();
            --count;
        }
    }
}

} // namespace eelgrassdoor::jobs
