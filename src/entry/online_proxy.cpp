#include "base/text.hpp"
#include "entry/online_proxy.hpp"
#include "serving/event_stream_parser.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// How long a target may take to its first byte before an idempotent request is tried at another
/// one. A request that waits inside a full target starts far sooner.
constexpr duration first_byte_timeout = milliseconds(1000);
/// How long a stream that may be resumed may be silent. Targets make an event every 20 ms.
constexpr duration silence_timeout = milliseconds(1000);
/// Targets that are asked although the ones before could not be reached or refused.
constexpr int max_refusals = 4;
/// A request is not tried anew with less time than this left.
constexpr duration least_time = milliseconds(50);

net::http_response passed_on(const net::http_response& answer) {
    net::http_response out;
    out.status = answer.status;
    const std::string_view connection = answer.headers.get("Connection");
    for (const net::http_header& field : answer.headers.all()) {
        if (!net::is_hop_by_hop(field.name, connection) &&
            !equals_ignore_case(field.name, "Content-Length")) {
            out.headers.add(field.name, field.value);
        }
    }
    return out;
}

} // namespace

net::task<> online_service::run(net::server_exchange& caller, caller_request request,
                                const config::serving_route& route, std::string customer) {
    const duration wait = std::min(route.timeout, request.time_left.value_or(route.timeout));
    running_request run{.caller = caller,
                        .request = std::move(request),
                        .route = route,
                        .customer = std::move(customer),
                        .service = config::pick_service(route, m_context.random),
                        .deadline = caller.received_at() + wait,
                        .excluded = {},
                        .last_event = {},
                        .first_event_after = {},
                        .active = {}};
    run.last_event = run.request.resume_after;
    caller.on_caller_left([&run] {
        if (run.active) {
            run.active->close();
        }
    });
    step next = step::try_another;
    while (next == step::try_another) {
        const std::optional<routing::fleet_target> target = m_context.loads.pick_online(
            run.service, run.excluded, m_context.clock(), m_context.random);
        if (!target) {
            error why = no_target(run);
            co_await finish_with(run, std::move(why));
            break;
        }
        next = co_await attempt(run, *target);
    }
}

error online_service::no_target(const running_request& run) const {
    if (run.runs > 0) {
        return {error_code::target_failed, "the request failed at its target", run_state::unknown};
    }
    if (!m_context.loads.serves(run.service)) {
        return {error_code::unavailable, "no target serves the route", run_state::not_run,
                seconds(1)};
    }
    return {error_code::overloaded, "every target is full", run_state::not_run, seconds(1)};
}

bool online_service::may_run_again(const running_request& run) const {
    const bool allowed = run.route.repeats == config::repeat_rule::idempotent;
    return allowed && run.runs < run.route.max_attempts;
}

time_point online_service::answer_by(const running_request& run) const {
    if (run.route.repeats == config::repeat_rule::idempotent &&
        run.runs + 1 < run.route.max_attempts) {
        return std::min(run.deadline, m_context.clock() + first_byte_timeout);
    }
    return run.deadline;
}

net::task<online_service::step> online_service::attempt(running_request& run,
                                                        const routing::fleet_target& target) {
    const target_call call{.target_id = target.id,
                           .customer = run.customer,
                           .time_left = run.deadline - m_context.clock(),
                           .resume_after = run.last_event};
    m_context.log.write(
        run.begun ? observe::event::stream_resumed : observe::event::target_chosen, run.request.id,
        {{"target", target.id},
         {"online", std::to_string(m_context.loads.total(target.id, m_context.clock()).online)},
         {"left_ms", std::to_string(to_ms(*call.time_left))}});
    run.sent_at = m_context.clock();
    run.active = std::make_shared<target_exchange>(m_context, target, work_kind::online);
    const std::shared_ptr<target_exchange> exchange = run.active;
    net::http_request message = m_context.wire.encode_call(run.request, call);
    result<target_answer> answer =
        co_await exchange->open(std::move(message), run.request.id, answer_by(run));
    if (run.caller.caller_left()) {
        log_end(run, "caller_left");
        co_return step::done;
    }
    run.excluded.insert(target.id);
    if (!answer) {
        m_context.loads.note_failed(target.id, failure_of(answer.error()), m_context.clock());
        error unreached = answer.error();
        co_return co_await after_failure(run, std::move(unreached));
    }
    m_context.loads.note_answered(target.id);
    co_return co_await relay(run, std::move(answer.value()));
}

net::task<online_service::step> online_service::relay(running_request& run, target_answer answer) {
    if (answer.not_run) {
        error refused{error_code::overloaded, "the target did not run the request",
                      run_state::not_run};
        co_return co_await after_failure(run, std::move(refused));
    }
    const int status = run.active->response().status;
    const bool worth_repeating = status >= 500 && (run.begun || may_run_again(run));
    if (worth_repeating || answer.is_encoded) {
        error failed{error_code::target_failed,
                     answer.is_encoded ? "the target encoded its answer"
                                       : str_cat("the target answered ", status),
                     run_state::ran};
        co_return co_await after_failure(run, std::move(failed));
    }
    if (answer.is_stream && status < 300) {
        co_return co_await relay_stream(run);
    }
    co_return co_await relay_whole(run);
}

net::task<online_service::step> online_service::relay_whole(running_request& run) {
    const result<void> read = co_await run.active->read_all(run.deadline);
    if (run.caller.caller_left()) {
        log_end(run, "caller_left");
        co_return step::done;
    }
    if (!read) {
        error broken = read.error();
        co_return co_await after_failure(run, std::move(broken));
    }
    net::http_response out = passed_on(run.active->response());
    out.body = std::move(run.active->response().body);
    run.active.reset();
    co_await run.caller.respond(std::move(out));
    log_end(run, "answered");
    co_return step::done;
}

net::task<bool> online_service::pass_events(running_request& run,
                                            std::vector<stream_event> events) {
    std::string bytes;
    for (const stream_event& event : events) {
        // A resumed stream may repeat what the caller has.
        if (event.id && run.last_event && *event.id <= *run.last_event) {
            continue;
        }
        run.last_event = event.id ? event.id : run.last_event;
        bytes += event.text;
        ++run.events;
    }
    if (bytes.empty()) {
        co_return true;
    }
    if (!run.begun) {
        run.begun = true;
        run.first_event_after = m_context.clock() - run.caller.received_at();
        net::http_response head = passed_on(run.active->response());
        const bool sent = co_await run.caller.begin(std::move(head));
        if (!sent) {
            co_return false;
        }
    }
    co_return co_await run.caller.write(std::move(bytes));
}

net::task<online_service::step> online_service::relay_stream(running_request& run) {
    event_splitter splitter;
    for (;;) {
        const bool may_move = run.route.resumable && may_run_again(run);
        const time_point silent_until =
            may_move ? std::min(run.deadline, m_context.clock() + silence_timeout) : run.deadline;
        const result<bool> more = co_await run.active->read_body(silent_until);
        if (run.caller.caller_left()) {
            log_end(run, "caller_left");
            co_return step::done;
        }
        if (!more) {
            m_context.loads.note_failed(run.active->target().id, failure_of(more.error()),
                                        m_context.clock());
            error broken = more.error();
            co_return co_await after_failure(run, std::move(broken));
        }
        std::vector<stream_event> events =
            splitter.feed(std::exchange(run.active->response().body, {}));
        const bool sent = co_await pass_events(run, std::move(events));
        if (!sent) {
            log_end(run, "caller_left");
            co_return step::done;
        }
        if (!more.value()) {
            break;
        }
    }
    if (!splitter.rest().empty()) {
        error cut{error_code::target_failed, "the stream ended inside an event", run_state::ran};
        co_return co_await after_failure(run, std::move(cut));
    }
    const net::http_response head = passed_on(run.active->response());
    run.active.reset();
    if (!run.begun) {
        co_await run.caller.begin(head);
    }
    co_await run.caller.finish();
    log_end(run, "answered");
    co_return step::done;
}

net::task<online_service::step> online_service::after_failure(running_request& run, error failure) {
    const std::string target = run.active ? run.active->target().id : std::string();
    run.active.reset();
    const bool not_run = failure.run == run_state::not_run;
    (not_run ? run.refusals : run.runs) += 1;
    m_context.log.write(observe::event::target_failed, run.request.id,
                        {{"target", target},
                         {"reason", failure.message},
                         {"run", std::string(to_string(failure.run))},
                         {"events", std::to_string(run.events)}});
    m_context.numbers.count("target_failures_total");
    const bool time_left = run.deadline - m_context.clock() >= least_time;
    const bool again = not_run
                           ? run.refusals < max_refusals && (run.runs == 0 || may_run_again(run))
                           : may_run_again(run) && (!run.begun || run.route.resumable);
    if (again && time_left) {
        co_return step::try_another;
    }
    if (run.runs > 0) {
        failure.run = run_state::unknown;
        failure.code = failure.code == error_code::deadline_exceeded ? failure.code
                                                                     : error_code::target_failed;
    }
    co_await finish_with(run, std::move(failure));
    co_return step::done;
}

net::task<> online_service::finish_with(running_request& run, error failure) {
    run.active.reset();
    if (run.begun) {
        run.caller.abort();
        log_end(run, "broken_off");
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
    net::http_response response = m_context.wire.encode_error(failure);
    co_await run.caller.respond(std::move(response));
    log_end(run, failure.message);
}

void online_service::log_end(const running_request& run, std::string_view outcome) const {
    const duration whole = m_context.clock() - run.caller.received_at();
    m_context.log.write(observe::event::request_finished, run.request.id,
                        {{"outcome", std::string(outcome)},
                         {"route", run.route.name},
                         {"customer", run.customer},
                         {"runs", std::to_string(run.runs)},
                         {"events", std::to_string(run.events)},
                         {"first_ms", std::to_string(to_ms(run.first_event_after))},
                         {"whole_ms", std::to_string(to_ms(whole))}});
    m_context.numbers.count(
        str_cat("requests_total{outcome=\"", outcome == "answered" ? "answered" : "other", "\"}"));
    if (outcome == "answered") {
        m_context.times.note(run.route.name, m_context.clock() - run.sent_at);
    }
    if (run.events > 0) {
        m_context.numbers.observe("first_event_seconds", to_seconds(run.first_event_after));
    }
}

} // namespace eelgrassdoor::entry
