#include "base/text.hpp"
#include "entry/online_proxy.hpp"
#include "serving/event_stream_parser.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Removes the events after a gap in the ids that follow \p last_event. Returns whether there is
/// one.
bool cut_at_gap(std::vector<stream_event>& events, std::optional<std::uint64_t> last_event) {
    for (auto it = events.begin(); it != events.end(); ++it) {
        if (it->id && last_event && *it->id > *last_event + 1) {
            events.erase(it, events.end());
            return true;
        }
        last_event = it->id ? std::max(it->id, last_event) : last_event;
    }
    return false;
}

} // namespace

net::task<online_proxy::attempt_outcome> online_proxy::relay(running_request& run,
                                                             target_response response) {
    if (response.not_run) {
        run.refused_rests += run.has_closed_after_last_event() ? 1 : 0;
        error refused{error_code::overloaded, "the target did not run the request",
                      run_state::not_run};
        co_return co_await handle_failure(run, std::move(refused));
    }
    const int status = run.active_exchange->response().status;
    const bool is_stream = response.is_stream && status < 300;
    const bool should_retry = status >= 500 && (run.backup || has_attempts_left(run));
    // Once a stream has begun, the caller can only receive more of its events.
    const bool cannot_follow = run.headers_sent && !is_stream;
    if (should_retry || cannot_follow || response.has_content_encoding) {
        error failed{error_code::target_failed,
                     response.has_content_encoding
                         ? "the target sent a content-encoded response"
                         : str_cat("the target responded with status ", status),
                     run_state::ran};
        co_return co_await handle_failure(run, std::move(failed));
    }
    run.silence->restart();
    withdraw_backup(run);
    if (is_stream) {
        co_return co_await relay_stream(run);
    }
    co_return co_await relay_full_response(run);
}

net::task<online_proxy::attempt_outcome> online_proxy::relay_full_response(running_request& run) {
    run.relays_full_response = true;
    const result<void> read = co_await run.active_exchange->read_all(run.deadline);
    if (run.caller_exchange.client_disconnected()) {
        log_finished(run, "caller_left");
        co_return attempt_outcome::done;
    }
    run.relays_full_response = false;
    if (!read) {
        error read_error = read.error();
        co_return co_await handle_target_failure(run, std::move(read_error));
    }
    record_served(m_context, run.suspects);
    net::http_response out = net::make_forwarded_head(run.active_exchange->response());
    out.body = std::move(run.active_exchange->response().body);
    run.active_exchange.reset();
    co_await run.caller_exchange.respond(std::move(out));
    log_finished(run, "answered");
    co_return attempt_outcome::done;
}

net::task<bool> online_proxy::forward_events(running_request& run,
                                             std::vector<stream_event> events) {
    std::string bytes;
    for (const stream_event& event : events) {
        // A resumed stream may repeat events that the caller already has.
        if (event.id && run.last_event && *event.id <= *run.last_event) {
            continue;
        }
        run.last_event = event.id ? event.id : run.last_event;
        run.has_unnumbered_event = run.has_unnumbered_event || (!event.id && !event.is_comment);
        bytes += event.text;
        ++run.events;
    }
    // The caller may take long to read what is written.
    events = {};
    if (bytes.empty()) {
        co_return true;
    }
    if (!run.headers_sent) {
        run.headers_sent = true;
        record_version(run);
        run.time_to_first_event = m_context.clock() - run.caller_exchange.received_at();
        net::http_response head = net::make_forwarded_head(run.active_exchange->response());
        const bool sent = co_await run.caller_exchange.begin(std::move(head));
        if (!sent) {
            co_return false;
        }
    }
    run.waits_for_caller = true;
    const bool sent = co_await run.caller_exchange.write(std::move(bytes));
    run.waits_for_caller = false;
    run.silence->restart();
    co_return sent;
}

net::task<online_proxy::attempt_outcome> online_proxy::relay_stream(running_request& run) {
    event_stream_parser parser;
    for (;;) {
        const result<bool> more = co_await run.active_exchange->read_body(run.deadline);
        if (run.caller_exchange.client_disconnected()) {
            log_finished(run, "caller_left");
            co_return attempt_outcome::done;
        }
        const bool is_first = !run.headers_sent && !run.active_exchange->response().body.empty();
        if (more && is_first) {
            run.silence->restart();
            co_await publish_version(run);
        }
        // What a superseded target has sent meanwhile is dropped: its successor sends it as well,
        // and may be of another software version while the caller has got no event.
        if (!more || run.is_superseded()) {
            error read_error = run.is_superseded() ? silence_error() : more.error();
            if (!parser.partial_event().empty()) {
                run.closed_after.reset();
            }
            co_return co_await handle_target_failure(run, std::move(read_error));
        }
        std::vector<stream_event> events =
            parser.feed(std::exchange(run.active_exchange->response().body, {}));
        if (!events.empty()) {
            ++run.reads_with_events;
            run.silence->restart();
            withdraw_backup(run);
        }
        // The target has survived the beginning of its response.
        if (run.reads_with_events == 2 && !events.empty()) {
            record_served(m_context, run.suspects);
        }
        // Another target may have the missing event.
        const bool has_gap = run.route.resumable && cut_at_gap(events, run.last_event);
        const bool sent = co_await forward_events(run, std::move(events));
        if (!sent) {
            log_finished(run, "caller_left");
            co_return attempt_outcome::done;
        }
        if (has_gap) {
            run.closed_after.reset();
            error missing{error_code::target_failed, "an event of the stream is missing",
                          run_state::ran};
            co_return co_await handle_target_failure(run, std::move(missing));
        }
        if (parser.is_event_too_long()) {
            run.closed_after.reset();
            error too_long{error_code::target_failed, "an event of the stream is too long",
                           run_state::ran};
            co_return co_await handle_target_failure(run, std::move(too_long));
        }
        if (!more.value()) {
            break;
        }
    }
    // A close right after the head does not tell an empty stream from one that broke off. When a
    // second target has nothing to go on with either, nothing is missing.
    const bool is_framed = run.active_exchange->response().framed;
    const bool no_body = run.reads_with_events == 0 && !is_framed;
    const bool is_end =
        run.has_closed_after_last_event() || (run.last_event && run.empty_rests > 0);
    if ((no_body && !is_end) || !parser.partial_event().empty()) {
        run.empty_rests += no_body ? 1 : 0;
        if (!no_body) {
            run.closed_after.reset();
        }
        error truncated{error_code::target_failed,
                        no_body ? "the stream ended before its first event"
                                : "the stream ended inside an event",
                        run_state::ran};
        co_return co_await handle_failure(run, std::move(truncated));
    }
    if (!is_framed && !is_end && needs_rest(run)) {
        if (can_ask_for_rest(run)) {
            co_return ask_for_rest(run);
        }
        error unknown{error_code::target_failed, "no run can tell whether an event follows",
                      run_state::ran};
        co_return co_await handle_failure(run, std::move(unknown));
    }
    if (!run.headers_sent) {
        net::http_response head = net::make_forwarded_head(run.active_exchange->response());
        co_await run.caller_exchange.begin(std::move(head));
    }
    co_await finish_stream(run);
    co_return attempt_outcome::done;
}

bool online_proxy::needs_rest(const running_request& run) const {
    return run.route.resumable && run.last_event && run.can_go_on() && has_attempts_left(run);
}

bool online_proxy::can_ask_for_rest(const running_request& run) const {
    return run.deadline - m_context.clock() >= min_retry_time;
}

online_proxy::attempt_outcome online_proxy::ask_for_rest(running_request& run) const {
    const std::string& target = run.active_exchange->target().id;
    m_context.log.write(observe::event::stream_rest_requested, run.request.id,
                        {{"target", target}, {"events", std::to_string(run.events)}});
    run.closed_after = run.last_event;
    // The target that has sent the stream holds its prompt.
    run.constraints.excluded.erase(target);
    ++run.runs;
    run.active_exchange.reset();
    return attempt_outcome::retry;
}

net::task<> online_proxy::finish_stream(running_request& run) {
    run.active_exchange.reset();
    co_await run.caller_exchange.finish();
    log_finished(run, "answered");
}

} // namespace eelgrassdoor::entry
