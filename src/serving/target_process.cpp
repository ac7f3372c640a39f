#include "serving/target_process.hpp"

#include "base/digest.hpp"
#include "net/http_exchange.hpp"
#include "net/notification.hpp"
#include "serving/stall_detector.hpp"
#include "serving/target_connection.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// Connections that are opened to ask for a report. A target may close one after its report.
constexpr int max_asked_connections = 2;
/// A target at its connection limit resets new connections until one of its others ends.
constexpr int max_confirm_attempts = 6;
constexpr duration confirm_interval = milliseconds(50);

/// What the answer to the question for a report tells.
struct process_report {
    /// Whether the answer is a report at all.
    bool is_report = false;
    std::optional<std::uint64_t> started_at;
    bool is_leaving = false;
    /// Whether the connection can carry a request after the report.
    bool is_reusable = false;
};

/// Asks the process at the other end of \p connection for its report.
net::task<result<process_report>> ask(const protocol_codec& codec,
                                      std::shared_ptr<net::tcp_connection> connection,
                                      std::string endpoint) {
    net::http_exchange exchange(connection, target_response_limits);
    exchange.send(codec.encode_report_call(endpoint));
    result<void> read = co_await exchange.read_head();
    const net::http_response& response = exchange.response();
    target_response head;
    if (read) {
        head = codec.decode_response(response);
        // A target that knows no reports may run the question as a request.
        if (response.status != 200 || head.is_stream) {
            co_return process_report{.is_leaving = head.target_is_leaving};
        }
        read = co_await exchange.read_all();
    }
    if (!read) {
        co_return error{error_code::unavailable, "no report: " + read.error().message,
                        run_state::not_run};
    }
    co_return process_report{.is_report = true,
                             .started_at = codec.decode_start_time(response),
                             .is_leaving = head.target_is_leaving,
                             .is_reusable = exchange.reusable()};
}

void record_process(service_context& context, const listed_process& listed,
                    std::uint64_t started_at) {
    const bool is_new = started_at != listed.started_at &&
                        context.loads.mark_outdated(listed.target, listed.started_at);
    if (is_new) {
        context.log.write(observe::event::target_outdated, listed.target,
                          {{"listed", std::to_string(listed.started_at)},
                           {"running", std::to_string(started_at)}});
    }
}

} // namespace

net::task<result<process_connection>> connect_to_process(service_context& context,
                                                         listed_process listed, process_check check,
                                                         time_point deadline, on_open_fn on_open) {
    process_connection out;
    int questions_left = check == process_check::none ? 0 : max_asked_connections;
    for (;;) {
        const time_point connect_by = std::min(deadline, context.clock() + target_connect_timeout);
        const auto connected =
            co_await connect_to_target(context, listed.target, listed.endpoint, connect_by);
        if (!connected) {
            co_return connected.error();
        }
        out.connection = connected.value();
        out.connection->set_deadline(deadline);
        on_open(out.connection);
        if (questions_left == 0) {
            break;
        }
        const stall_detector detector(context, listed.target);
        const auto report = co_await ask(context.codec, out.connection, listed.endpoint);
        if (!report) {
            const bool was_cancelled = !out.connection->is_open() && !out.connection->timed_out();
            if (!was_cancelled) {
                record_no_response(context, listed.target, report.error().message);
                context.loads.record_failure(
                    listed.target, routing::target_failure::response_failed, context.clock());
            }
            out.connection->close();
            co_return report.error();
        }
        record_response(context, listed.target);
        const std::optional<std::uint64_t> started_at = report.value().started_at;
        if (started_at) {
            record_process(context, listed, *started_at);
        }
        if (report.value().is_leaving) {
            mark_leaving(context, listed.target,
                         {stable_hash(listed.target), started_at.value_or(listed.started_at)});
            out.connection->close();
            co_return error{error_code::unavailable, "the target is shutting down",
                            run_state::not_run};
        }
        if (report.value().is_reusable) {
            out.started_at = started_at;
            break;
        }
        out.connection->close();
        questions_left = report.value().is_report ? questions_left - 1 : 0;
    }
    if (check == process_check::require_listed && out.started_at != listed.started_at) {
        out.connection->close();
        co_return error{error_code::unavailable, "the target does not run the process of its entry",
                        run_state::not_run};
    }
    co_return out;
}

net::task<result<void>> confirm_running(service_context& context, listed_process process,
                                        time_point deadline) {
    const time_point end = std::min(deadline, context.clock() + confirm_timeout);
    const error unconfirmed{error_code::target_failed,
                            "the connection was closed, and the target's process may have ended",
                            run_state::unknown};
    for (int attempt = 0; attempt < max_confirm_attempts && context.clock() < end; ++attempt) {
        const time_point connect_by = std::min(end, context.clock() + target_connect_timeout);
        const auto connected =
            co_await connect_to_target(context, process.target, process.endpoint, connect_by);
        if (!connected) {
            break;
        }
        connected.value()->set_deadline(end);
        const auto report = co_await ask(context.codec, connected.value(), process.endpoint);
        connected.value()->close();
        if (report) {
            if (report.value().started_at == process.started_at) {
                co_return success();
            }
            break;
        }
        co_await net::sleep_for(confirm_interval);
    }
    context.log.write(observe::event::response_end_unconfirmed, process.target,
                      {{"started_at", std::to_string(process.started_at)}});
    co_return unconfirmed;
}

} // namespace eelgrassdoor::serving
