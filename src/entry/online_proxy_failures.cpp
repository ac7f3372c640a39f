#include "entry/online_proxy.hpp"
#include "serving/target_connection.hpp"

namespace eelgrassdoor::entry {

bool online_proxy::has_attempts_left(const running_request& run) const {
    const int open_attempts = (run.active_exchange ? 1 : 0) + (run.backup ? 1 : 0);
    return run.route.semantics == config::execution_semantics::idempotent &&
           run.runs + open_attempts < run.route.max_attempts;
}

bool online_proxy::may_retry(const running_request& run) const {
    const bool allowed = run.route.semantics == config::execution_semantics::idempotent;
    return allowed && run.runs < run.route.max_attempts;
}

error online_proxy::no_target_error(const running_request& run) const {
    if (run.runs > 0) {
        return {error_code::target_failed, "the request failed at its target", run_state::unknown};
    }
    if (!m_context.loads.serves(run.service)) {
        return {error_code::unavailable, "no target serves the route", run_state::not_run,
                seconds(1)};
    }
    if (run.constraints.version && !m_context.loads.serves(run.service, *run.constraints.version)) {
        return {error_code::unavailable, "no target has the software version that began the stream",
                run_state::not_run, seconds(1)};
    }
    return {error_code::overloaded, "all targets are at capacity", run_state::not_run,
            run.retry_after};
}

error online_proxy::silence_error() {
    return {error_code::deadline_exceeded, "the target is silent and another one takes its place",
            run_state::unknown};
}

net::task<online_proxy::attempt_outcome> online_proxy::handle_target_failure(running_request& run,
                                                                             error failure) {
    record_target_failure(m_context, run.active_exchange->target().id, failure);
    check_target(run, failure);
    co_return co_await handle_failure(run, std::move(failure));
}

void online_proxy::check_target(const running_request& run, const error& failure) {
    if (run.reads_with_events == 0 && is_closed_by_target(failure)) {
        check_for_crash(m_context, run.active_exchange->target(), run.suspects);
    }
}

void online_proxy::count_failure(running_request& run, std::string_view target,
                                 const error& failure) const {
    if (failure.run != run_state::not_run) {
        ++run.runs;
    } else if (!is_other_process(failure)) {
        ++run.refusals;
    }
    m_context.log.write(observe::event::target_failed, run.request.id,
                        {{"target", std::string(target)},
                         {"reason", failure.message},
                         {"run", std::string(to_string(failure.run))},
                         {"events", std::to_string(run.events)}});
    m_context.metrics.count("target_failures_total");
}

net::task<online_proxy::attempt_outcome> online_proxy::handle_failure(running_request& run,
                                                                      error failure) {
    const std::string target =
        run.active_exchange ? run.active_exchange->target().id : std::string();
    run.active_exchange.reset();
    count_failure(run, target, failure);
    const bool expired = run.deadline <= m_context.clock();
    if (run.backup && !expired) {
        co_return attempt_outcome::retry;
    }
    withdraw_backup(run);
    co_return co_await retry_or_fail(run, std::move(failure));
}

net::task<online_proxy::attempt_outcome> online_proxy::withhold(running_request& run, error why) {
    run.active_exchange.reset();
    if (run.backup) {
        co_return attempt_outcome::retry;
    }
    co_await respond_with_error(run, std::move(why));
    co_return attempt_outcome::done;
}

net::task<online_proxy::attempt_outcome> online_proxy::retry_or_fail(running_request& run,
                                                                     error failure) {
    const bool not_run = failure.run == run_state::not_run;
    const bool time_left = run.deadline - m_context.clock() >= min_retry_time;
    const bool should_retry = not_run
                                  ? run.refusals < max_refusals && (run.runs == 0 || may_retry(run))
                                  : may_retry(run) && run.can_go_on();
    if (should_retry && time_left) {
        co_return attempt_outcome::retry;
    }
    if (run.runs > 0) {
        failure.run = run_state::unknown;
        failure.code = failure.code == error_code::deadline_exceeded ? failure.code
                                                                     : error_code::target_failed;
    }
    co_await respond_with_error(run, std::move(failure));
    co_return attempt_outcome::done;
}

bool online_proxy::is_rest_refused(const running_request& run) {
    return run.has_closed_after_last_event() && run.refused_rests >= max_refusals;
}

net::task<> online_proxy::respond_with_error(running_request& run, error failure) {
    run.active_exchange.reset();
    if (run.headers_sent && is_rest_refused(run)) {
        // The end was confirmed, and targets that run answer.
        co_await finish_stream(run);
        co_return;
    }
    if (run.headers_sent) {
        run.caller_exchange.abort();
        log_finished(run, "broken_off");
        co_return;
    }
    if (failure.run == run_state::not_run && failure.retry_after == duration::zero()) {
        failure.retry_after = seconds(1);
        failure.code = error_code::overloaded;
    }
    m_context.log.write(observe::event::request_refused, run.request.id,
                        {{"reason", failure.message},
                         {"run", std::string(to_string(failure.run))},
                         {"configuration", std::to_string(m_context.plan->version)},
                         {"load", m_context.loads.describe(run.service, m_context.clock())}});
    net::http_response response = m_context.codec.encode_error(failure);
    co_await run.caller_exchange.respond(std::move(response));
    log_finished(run, failure.message);
}

} // namespace eelgrassdoor::entry
