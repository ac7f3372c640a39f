#include "jobs/item_run.hpp"

#include "serving/crash_detector.hpp"
#include "serving/event_stream_parser.hpp"
#include "serving/target_connection.hpp"

namespace eelgrassdoor::jobs {

namespace {

/// Timeouts for the first event of a stream and for each later one. A batch item starts in a free
/// slot, and targets produce an event every 20 ms.
constexpr duration first_event_timeout = seconds(3);
constexpr duration event_gap_timeout = milliseconds(1500);

/// The outcome of a run whose response has ended. \p has_events: whether it has brought events; \p
/// is_cut: whether it ended inside one.
item_outcome end_of(const item_run& running, bool is_framed, bool has_events, bool is_cut) {
    if (is_cut || is_framed) {
        return is_cut ? item_outcome::interrupted : item_outcome::complete;
    }
    if (!has_events) {
        // A close right after the head does not tell an empty stream from one that broke off. The
        // text may lack nothing but its end, which no run would bring.
        running.job->set_version(running.index, std::nullopt);
        return item_outcome::interrupted;
    }
    if (!running.job->item(running.index).can_go_on()) {
        return item_outcome::complete;
    }
    // The next run tells whether an event is missing.
    running.job->set_closed(running.index);
    return item_outcome::interrupted;
}

/// Records that the target's answer is too long to be a result.
void record_oversized(serving::service_context& context, const item_run& running) {
    const std::string& target = running.exchange->target().id;
    context.loads.record_failure(target, routing::target_failure::response_failed, context.clock());
    context.log.write(observe::event::target_failed, running.job->item(running.index).content.id,
                      {{"target", target}, {"reason", "the answer is too long for a result"}});
}

/// Reads the events of an open stream into the item until the stream ends.
net::task<item_outcome> collect(serving::service_context& context, item_run& running,
                                serving::crash_suspects suspects) {
    const std::shared_ptr<serving::target_exchange> exchange = running.exchange;
    const owned_item& item = running.job->item(running.index);
    const bool asks_for_rest = item.has_closed_after_last_event();
    serving::event_stream_parser parser;
    std::size_t reads_with_events = 0;
    for (;;) {
        const result<bool> more = co_await exchange->read_body(context.clock() + event_gap_timeout);
        if (running.stopped) {
            co_return item_outcome::interrupted;
        }
        if (!more) {
            if (!parser.partial_event().empty()) {
                running.job->clear_closed(running.index);
            }
            serving::record_target_failure(context, exchange->target().id, more.error());
            if (reads_with_events == 0 && serving::is_closed_by_target(more.error())) {
                serving::check_for_crash(context, exchange->target(), std::move(suspects));
            }
            co_return item_outcome::interrupted;
        }
        const std::vector<serving::stream_event> events =
            parser.feed(std::exchange(exchange->response().body, {}));
        reads_with_events += events.empty() ? 0 : 1;
        // The target has survived the beginning of its response.
        if (reads_with_events == 2 && !events.empty()) {
            serving::record_served(context, suspects);
        }
        if (!running.job->add_events(running.index, events, context.clock())) {
            running.job->clear_closed(running.index);
            co_return item_outcome::interrupted;
        }
        if (running.job->is_output_too_long(running.index)) {
            running.job->discard_text(running.index);
            record_oversized(context, running);
            co_return item_outcome::interrupted;
        }
        if (parser.is_event_too_long()) {
            running.job->clear_closed(running.index);
            context.loads.record_failure(exchange->target().id,
                                         routing::target_failure::response_failed, context.clock());
            co_return item_outcome::interrupted;
        }
        if (!more.value()) {
            const bool is_cut = !parser.partial_event().empty();
            if (is_cut) {
                running.job->clear_closed(running.index);
            }
            if (!is_cut && asks_for_rest && item.has_closed_after_last_event()) {
                // The target has told that nothing follows the text.
                co_return item_outcome::complete;
            }
            co_return end_of(running, exchange->response().framed, reads_with_events > 0, is_cut);
        }
    }
}

} // namespace

net::task<item_outcome> run_item_at(serving::service_context& context, item_run& running,
                                    routing::fleet_target target) {
    const owned_item& item = running.job->item(running.index);
    const job_state& state = running.job->record().state;
    serving::caller_request request;
    request.id = item.content.id;
    request.host = state.host;
    request.content.method = "POST";
    request.content.target = item.content.path;
    request.content.headers = item.content.headers;
    request.content.body = item.content.body;
    const serving::target_call call{.target_id = target.id,
                                    .customer = state.customer,
                                    .time_left = {},
                                    .resume_after = item.last_event};
    const serving::process_check check =
        item.has_text() ? serving::process_check::require_listed : serving::process_check::identify;
    const std::shared_ptr<serving::target_exchange> exchange = running.exchange;
    serving::crash_suspects suspects =
        serving::suspects_of(context.codec.decode_prompt(item.content.headers));
    const serving::target_exchange::make_request_fn make_message = [&] {
        return context.codec.encode_call(request, call);
    };
    const serving::quarantine_gate gate{.kind = serving::gate_kind::item, .suspects = suspects};
    const result<serving::target_response> response_head = co_await exchange->open(
        make_message, request.id, context.clock() + first_event_timeout, check, gate);
    if (running.stopped || exchange->is_withheld()) {
        co_return item_outcome::interrupted;
    }
    if (!response_head) {
        serving::record_target_failure(context, target.id, response_head.error());
        if (serving::is_other_process(response_head.error()) &&
            item.may_start_over(context.clock())) {
            running.job->set_version(running.index, std::nullopt);
        }
        context.log.write(observe::event::target_failed, request.id,
                          {{"target", target.id}, {"reason", response_head.error().message}});
        if (serving::is_closed_by_target(response_head.error())) {
            serving::check_for_crash(context, target, std::move(suspects));
        }
        co_return item_outcome::interrupted;
    }
    context.loads.record_success(target.id, context.clock());
    if (response_head.value().not_run) {
        co_return running.job->record_refused_rest(running.index) ? item_outcome::complete
                                                                  : item_outcome::interrupted;
    }
    running.job->set_version(running.index, exchange->software_version());
    const int status = exchange->response().status;
    if (status == 422) {
        co_return item_outcome::rejected;
    }
    if (status == 500) {
        co_return item_outcome::failed;
    }
    const bool is_stream = status < 300 && response_head.value().is_stream;
    if (!is_stream || response_head.value().has_content_encoding) {
        co_return item_outcome::interrupted;
    }
    co_return co_await collect(context, running, std::move(suspects));
}

} // namespace eelgrassdoor::jobs
