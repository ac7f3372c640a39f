#include "entry/online_proxy.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

net::task<> online_proxy::run(net::server_exchange& caller_exchange, caller_request request,
                              const config::serving_route& route, std::string customer) {
    const duration wait = std::min(route.timeout, request.time_left.value_or(route.timeout));
    // Shared with backup attempts, which may end later.
    const auto run = std::make_shared<running_request>(
        running_request{.caller_exchange = caller_exchange,
                        .request = std::move(request),
                        .route = route,
                        .customer = std::move(customer),
                        .service = config::pick_service(route, m_context.random),
                        .deadline = caller_exchange.received_at() + wait});
    run->suspects = suspects_of(run->request, run->customer);
    run->last_event = run->request.resume_after;
    caller_exchange.on_client_disconnect([this, run] {
        withdraw_backup(*run);
        if (run->place_wake) {
            run->place_wake->notify();
        }
        if (run->active_exchange) {
            run->active_exchange->close();
        }
    });
    const duration timeout = silence_timeout_of(route, wait);
    run->silence = std::make_shared<silence_timer>(
        m_context.executor, m_context.clock, timeout, backup_interval,
        [this, weak = std::weak_ptr<running_request>(run)] {
            if (const std::shared_ptr<running_request> running = weak.lock()) {
                handle_silence(running);
            }
        });
    const bool may_start = co_await find_version(*run);
    attempt_outcome next = may_start ? attempt_outcome::retry : attempt_outcome::done;
    while (next == attempt_outcome::retry) {
        if (run->backup) {
            next = co_await continue_at_backup(*run);
            continue;
        }
        std::optional<error> quarantined = quarantine_error(m_context, run->suspects);
        // A trial goes on while targets refuse it.
        run->is_trial = run->runs == 0 &&
                        (run->is_trial || (quarantined && begin_trial(m_context, run->suspects)));
        if (quarantined && !run->is_trial) {
            error why = run->runs > 0 ? no_target_error(*run) : std::move(*quarantined);
            co_await respond_with_error(*run, std::move(why));
            break;
        }
        const std::optional<routing::fleet_target> target = co_await wait_for_target(*run);
        if (caller_exchange.client_disconnected()) {
            log_finished(*run, "caller_left");
            break;
        }
        if (!target) {
            error why = no_target_error(*run);
            co_await respond_with_error(*run, std::move(why));
            break;
        }
        next = co_await attempt(*run, *target);
    }
    withdraw_backup(*run);
    run->silence.reset();
}

net::task<online_proxy::attempt_outcome>
online_proxy::attempt(running_request& run, const routing::fleet_target& target) {
    m_context.log.write(
        run.headers_sent ? observe::event::stream_resumed : observe::event::target_chosen,
        run.request.id,
        {{"target", target.id},
         {"online", std::to_string(m_context.loads.total(target.id, m_context.clock()).online)},
         {"version", target.version},
         {"started_at", std::to_string(target.started_at)},
         {"left_ms", std::to_string(to_ms(run.deadline - m_context.clock()))}});
    run.sent_at = m_context.clock();
    run.reads_with_events = 0;
    run.constraints.excluded.insert(target.id);
    run.silence->restart();
    run.active_exchange = std::make_shared<target_exchange>(m_context, target, work_kind::online,
                                                            has_attempts_left(run));
    std::shared_ptr<target_exchange> opened_exchange = run.active_exchange;
    const auto make_message = message_maker(run, target);
    run.caller_exchange.set_may_have_run();
    const quarantine_gate gate = gate_for(run);
    result<target_response> response = co_await opened_exchange->open(
        make_message, run.request.id, run.deadline, process_check_for(run), gate);
    if (run.caller_exchange.client_disconnected()) {
        log_finished(run, "caller_left");
        co_return attempt_outcome::done;
    }
    if (opened_exchange->is_withheld()) {
        error why = run.runs > 0 ? no_target_error(run) : response.error();
        co_return co_await withhold(run, std::move(why));
    }
    if (!response || run.is_superseded()) {
        error open_error = run.is_superseded() ? silence_error() : response.error();
        co_return co_await handle_target_failure(run, std::move(open_error));
    }
    m_context.loads.record_success(target.id, m_context.clock());
    // Ends when the target has answered, not when the caller has read the answer.
    opened_exchange.reset();
    co_return co_await relay(run, std::move(response.value()));
}

target_exchange::make_request_fn
online_proxy::message_maker(const running_request& run, const routing::fleet_target& target) const {
    return [this, &run, id = target.id] {
        const target_call call{.target_id = id,
                               .customer = run.customer,
                               .time_left = run.deadline - m_context.clock(),
                               .resume_after = run.last_event};
        return m_context.codec.encode_call(run.request, call);
    };
}

process_check online_proxy::process_check_for(const running_request& run) {
    if (!run.route.resumable) {
        return process_check::none;
    }
    return run.constraints.version ? process_check::require_listed : process_check::identify;
}

quarantine_gate online_proxy::gate_for(const running_request& run) {
    return {.kind = run.is_trial ? gate_kind::open : gate_kind::request, .suspects = run.suspects};
}

void online_proxy::log_finished(const running_request& run, std::string_view outcome) const {
    if (run.caller_exchange.interrupted()) {
        outcome = "ended_by_shutdown";
    }
    const duration elapsed = m_context.clock() - run.caller_exchange.received_at();
    m_context.log.write(observe::event::request_finished, run.request.id,
                        {{"outcome", std::string(outcome)},
                         {"route", run.route.name},
                         {"customer", run.customer},
                         {"runs", std::to_string(run.runs)},
                         {"events", std::to_string(run.events)},
                         {"first_ms", std::to_string(to_ms(run.time_to_first_event))},
                         {"whole_ms", std::to_string(to_ms(elapsed))}});
    m_context.metrics.count(
        str_cat("requests_total{outcome=\"", outcome == "answered" ? "answered" : "other", "\"}"));
    // The last run has only been asked for what follows the last event.
    const bool was_asked_for_rest = run.closed_after.has_value();
    if (outcome == "answered" && !was_asked_for_rest) {
        m_context.service_times.record(run.route.name, m_context.clock() - run.sent_at);
    }
    if (run.events > 0) {
        m_context.metrics.observe("first_event_seconds", to_seconds(run.time_to_first_event));
    }
}

} // namespace eelgrassdoor::entry
