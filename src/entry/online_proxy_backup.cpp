#include "base/text.hpp"
#include "entry/online_proxy.hpp"
#include "serving/target_connection.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Multiple of a route's mean service time for which a response without events, which arrives only
/// when it is complete, may take before its target counts as silent.
constexpr int silent_service_times = 3;

} // namespace

duration online_proxy::silence_timeout_of(const config::serving_route& route, duration wait) const {
    if (route.streaming) {
        return silence_timeout;
    }
    const duration mean = m_context.service_times.mean(route.name);
    const duration longest = std::max(silence_timeout, wait / std::max(1, route.max_attempts));
    return mean == duration::zero()
               ? longest
               : std::clamp(silent_service_times * mean, silence_timeout, longest);
}

bool online_proxy::may_back_up(const running_request& run) const {
    return has_attempts_left(run) && run.refusals < max_refusals && run.can_go_on() &&
           !run.relays_full_response && run.deadline - m_context.clock() >= min_retry_time &&
           !quarantine_error(m_context, run.suspects);
}

void online_proxy::handle_silence(const std::shared_ptr<running_request>& run) {
    if (run->waits_for_caller) {
        return;
    }
    if (run->backup && run->backup->exchange && !run->backup->has_taken_over) {
        supervise_backup(*run);
        return;
    }
    if (run->backup || !run->active_exchange || !may_back_up(*run)) {
        return;
    }
    run->backup = std::make_shared<backup_attempt>(m_context.executor);
    net::asio::co_spawn(m_context.executor, back_up(run, run->backup), net::asio::detached);
}

void online_proxy::close_silent(running_request& run) {
    run.backup->replaces_silent = true;
    if (run.active_exchange) {
        run.active_exchange->close();
    }
}

void online_proxy::supervise_backup(running_request& run) {
    const std::shared_ptr<backup_attempt> backup = run.backup;
    const duration elapsed = m_context.clock() - backup->sent_at;
    if (!run.route.resumable && elapsed >= refusal_timeout) {
        close_silent(run);
    }
    if (elapsed >= silence_timeout && may_back_up(run)) {
        // The backup's target is silent, too; another one is tried in its place.
        withdraw_backup(run);
    }
}

net::task<> online_proxy::back_up(std::shared_ptr<running_request> run,
                                  std::shared_ptr<backup_attempt> backup) {
    backup->target = co_await pick_target(*run);
    if (backup->withdrawn) {
        co_return;
    }
    if (!backup->target) {
        run->backup.reset();
        backup->changed.notify();
        co_return;
    }
    const routing::fleet_target& target = *backup->target;
    m_context.log.write(observe::event::backup_started, run->request.id,
                        {{"target", target.id},
                         {"silent", run->active_exchange ? run->active_exchange->target().id : ""},
                         {"events", std::to_string(run->events)}});
    backup->sent_at = m_context.clock();
    run->constraints.excluded.insert(target.id);
    backup->exchange =
        std::make_shared<target_exchange>(m_context, target, work_kind::online, true);
    const std::shared_ptr<target_exchange> exchange = backup->exchange;
    const auto make_message = message_maker(*run, target);
    const process_check check = process_check_for(*run);
    const quarantine_gate gate = gate_for(*run);
    const result<target_response> response =
        co_await exchange->open(make_message, run->request.id, run->deadline, check, gate);
    if (backup->withdrawn) {
        co_return;
    }
    if (std::optional<error> failure = backup_failure(*run, target, response)) {
        count_failure(*run, target.id, *failure);
        run->backup.reset();
        backup->failure = std::move(failure);
        backup->changed.notify();
        co_return;
    }
    backup->response = response.value();
    backup->has_taken_over = true;
    close_silent(*run);
    backup->changed.notify();
}

std::optional<error> online_proxy::backup_failure(const running_request& run,
                                                  const routing::fleet_target& target,
                                                  const result<target_response>& response) const {
    if (!response) {
        record_target_failure(m_context, target.id, response.error());
        if (is_closed_by_target(response.error())) {
            check_for_crash(m_context, target, run.suspects);
        }
        return response.error();
    }
    m_context.loads.record_success(target.id, m_context.clock());
    if (response.value().not_run) {
        return error{error_code::overloaded, "the target did not run the request",
                     run_state::not_run};
    }
    const int status = run.backup->exchange->response().status;
    const bool is_stream = response.value().is_stream && status < 300;
    const bool can_serve = run.route.streaming ? is_stream : status < 500;
    if (!can_serve || response.value().has_content_encoding) {
        return error{error_code::target_failed,
                     str_cat("the target responded with status ", status), run_state::ran};
    }
    return std::nullopt;
}

void online_proxy::withdraw_backup(running_request& run) const {
    const std::shared_ptr<backup_attempt> backup = run.backup;
    if (!backup || backup->has_taken_over) {
        return;
    }
    backup->withdrawn = true;
    if (backup->exchange) {
        // It may have begun to run.
        ++run.runs;
        backup->exchange->close();
        m_context.log.write(observe::event::backup_withdrawn, run.request.id,
                            {{"target", backup->target->id}});
    }
    run.backup.reset();
    backup->changed.notify();
}

net::task<online_proxy::attempt_outcome> online_proxy::continue_at_backup(running_request& run) {
    const std::shared_ptr<backup_attempt> backup = run.backup;
    if (!backup->has_taken_over) {
        co_await backup->changed.wait_until(run.deadline);
    }
    if (run.caller_exchange.client_disconnected()) {
        log_finished(run, "caller_left");
        co_return attempt_outcome::done;
    }
    if (!backup->has_taken_over) {
        withdraw_backup(run);
        error failure = backup->failure.value_or(no_target_error(run));
        co_return co_await retry_or_fail(run, std::move(failure));
    }
    run.backup.reset();
    run.active_exchange = std::move(backup->exchange);
    run.sent_at = backup->sent_at;
    run.reads_with_events = 0;
    run.silence->restart();
    co_return co_await relay(run, std::move(backup->response));
}

} // namespace eelgrassdoor::entry
