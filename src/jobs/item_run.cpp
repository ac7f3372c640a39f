#include "jobs/item_run.hpp"

#include "serving/event_stream_parser.hpp"

namespace eelgrassdoor::jobs {

namespace {

/// An item's stream that is silent for this long is broken off; a batch item starts in a free
/// slot, and targets make an event every 20 ms.
constexpr duration first_event_timeout = seconds(3);
constexpr duration silence_timeout = milliseconds(1500);

/// Takes in the events of a stream that has begun.
net::task<item_outcome> collect(serving::host_context& context, running_item& running) {
    const std::shared_ptr<serving::target_exchange> exchange = running.exchange;
    serving::event_splitter splitter;
    for (;;) {
        const result<bool> more = co_await exchange->read_body(context.clock() + silence_timeout);
        if (running.stopped) {
            co_return item_outcome::interrupted;
        }
        if (!more) {
            context.loads.note_failed(exchange->target().id, serving::failure_of(more.error()),
                                      context.clock());
            co_return item_outcome::interrupted;
        }
        const std::vector<serving::stream_event> events =
            splitter.feed(std::exchange(exchange->response().body, {}));
        if (!running.job->add_events(running.index, events)) {
            co_return item_outcome::interrupted;
        }
        if (!more.value()) {
            co_return splitter.rest().empty() ? item_outcome::complete : item_outcome::interrupted;
        }
    }
}

} // namespace

net::task<item_outcome> run_item_at(serving::host_context& context, running_item& running,
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
    const std::shared_ptr<serving::target_exchange> exchange = running.exchange;
    net::http_request message = context.wire.encode_call(request, call);
    const result<serving::target_answer> answer = co_await exchange->open(
        std::move(message), request.id, context.clock() + first_event_timeout);
    if (running.stopped) {
        co_return item_outcome::interrupted;
    }
    if (!answer) {
        context.loads.note_failed(target.id, serving::failure_of(answer.error()), context.clock());
        context.log.write(observe::event::target_failed, request.id,
                          {{"target", target.id}, {"reason", answer.error().message}});
        co_return item_outcome::interrupted;
    }
    context.loads.note_answered(target.id);
    if (answer.value().not_run) {
        co_return item_outcome::interrupted;
    }
    const int status = exchange->response().status;
    if (status == 422) {
        co_return item_outcome::impossible;
    }
    if (status == 500) {
        co_return item_outcome::failed;
    }
    if (status >= 300 || !answer.value().is_stream) {
        co_return item_outcome::interrupted;
    }
    co_return co_await collect(context, running);
}

} // namespace eelgrassdoor::jobs
