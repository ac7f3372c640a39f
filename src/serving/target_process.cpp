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
/// How long a request waits for a report that it does without if need be. A sound target may be
/// silent for about a second.
constexpr duration report_timeout = milliseconds(1200);
/// Reports are a few hundred bytes.
constexpr net::parse_limits report_limits{.max_header_bytes = 16 * 1024,
                                          .max_body_bytes = 64 * 1024};
/// Connections that may fail to open before a process counts as gone.
constexpr int max_failed_connects = 2;
/// Interval at which a process is asked again, doubled each time: a target at its connection limit
/// resets new connections until one of its others ends.
constexpr duration confirm_interval = milliseconds(25);

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
net::task<result<process_report>> ask(service_context& context,
                                      std::shared_ptr<net::tcp_connection> connection,
                                      std::string endpoint) {
    const protocol_codec& codec = context.codec;
    net::http_exchange exchange(connection, report_limits, &context.response_memory);
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
        co_return error{error_code::overloaded, "no report: " + read.error().message,
                        run_state::not_run};
    }
    co_return process_report{.is_report = true,
                             .started_at = codec.decode_start_time(response),
                             .is_leaving = head.target_is_leaving,
                             .is_reusable = exchange.reusable()};
}

void record_process(service_context& context, const target_process& listed,
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
                                                         target_process listed, process_check check,
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
        const bool must_know = check == process_check::require_listed;
        if (!must_know) {
            out.connection->set_deadline(std::min(deadline, context.clock() + report_timeout));
        }
        const auto report = co_await ask(context, out.connection, listed.endpoint);
        if (!report) {
            const bool was_cancelled = !out.connection->is_open() && !out.connection->timed_out();
            if (!was_cancelled) {
                record_no_response(context, listed.target, report.error().message);
            }
            out.connection->close();
            if (must_know || was_cancelled || context.clock() >= deadline) {
                co_return report.error();
            }
            // The target may serve requests all the same.
            questions_left = 0;
            continue;
        }
        out.connection->set_deadline(deadline);
        record_response(context, listed.target);
        const std::optional<std::uint64_t> started_at = report.value().started_at;
        if (started_at) {
            record_process(context, listed, *started_at);
        }
        if (report.value().is_leaving) {
            const std::uint64_t hash = stable_hash(listed.target);
            mark_leaving(context, listed.target, {hash, listed.started_at});
            mark_leaving(context, listed.target, {hash, started_at.value_or(listed.started_at)});
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

bool is_other_process(const error& failure) {
    return failure.run == run_state::not_run && failure.code == error_code::unavailable;
}

net::task<process_answer> ask_for_process(service_context& context,
                                          std::shared_ptr<net::tcp_connection> connection,
                                          target_process process, time_point deadline) {
    connection->set_deadline(std::min(deadline, context.clock() + confirm_timeout));
    const auto report = co_await ask(context, connection, process.endpoint);
    if (!report) {
        co_return process_answer::none;
    }
    const std::optional<std::uint64_t> started_at = report.value().started_at;
    if (started_at == process.started_at) {
        co_return process_answer::same;
    }
    if (started_at) {
        record_process(context, process, *started_at);
    }
    co_return process_answer::other;
}

net::task<result<void>> confirm_running(service_context& context, target_process process,
                                        time_point deadline, std::function<bool()> is_cancelled) {
    const time_point end = std::min(deadline, context.clock() + confirm_timeout);
    int failed_connects = 0;
    duration interval = confirm_interval;
    process_answer answer = process_answer::none;
    while (!is_cancelled() && context.clock() < end && failed_connects < max_failed_connects) {
        const time_point connect_by = std::min(end, context.clock() + target_connect_timeout);
        const auto connected =
            co_await connect_to_target(context, process.target, process.endpoint, connect_by);
        if (connected) {
            answer = co_await ask_for_process(context, connected.value(), process, end);
            connected.value()->close();
        } else {
            ++failed_connects;
        }
        if (answer != process_answer::none) {
            break;
        }
        co_await net::sleep_for(interval);
        interval *= 2;
    }
    if (answer == process_answer::same) {
        context.log.write(
            observe::event::response_end_confirmed, process.target,
            {{"by", "new_connection"}, {"started_at", std::to_string(process.started_at)}});
        co_return success();
    }
    context.log.write(
        observe::event::response_end_unconfirmed, process.target,
        {{"started_at", std::to_string(process.started_at)}, {"reason", "process_ended"}});
    co_return error{error_code::target_failed,
                    "the connection was closed, and the target's process may have ended",
                    run_state::unknown};
}

} // namespace eelgrassdoor::serving
