#include "serving/target_process.hpp"

#include "base/digest.hpp"
#include "net/http_exchange.hpp"
#include "net/notification.hpp"
#include "serving/stall_detector.hpp"
#include "serving/target_connection.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

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

/// Opens a connection to the target of \p listed, which stays open until \p deadline at most.
net::task<result<std::shared_ptr<net::tcp_connection>>> open_connection(service_context& context,
                                                                        target_process listed,
                                                                        time_point deadline,
                                                                        on_open_fn on_open) {
    const time_point connect_by = std::min(deadline, context.clock() + target_connect_timeout);
    auto connected =
        co_await connect_to_target(context, listed.target, listed.endpoint, connect_by);
    if (connected) {
        connected.value()->set_deadline(deadline);
        on_open(connected.value());
    }
    co_return connected;
}

/// Asks like ask(), and records what the answer, or that there is none, tells about the target of
/// \p listed. A target that is shutting down is an error.
net::task<result<process_report>> ask_and_record(service_context& context,
                                                 std::shared_ptr<net::tcp_connection> connection,
                                                 target_process listed) {
    const stall_detector detector(context, listed.target);
    const auto report = co_await ask(context, connection, listed.endpoint);
    if (!report) {
        const bool was_cancelled = !connection->is_open() && !connection->timed_out();
        if (!was_cancelled) {
            record_no_response(context, listed.target, report.error().message);
        }
        co_return report.error();
    }
    record_response(context, listed.target);
    const std::optional<std::uint64_t> started_at = report.value().started_at;
    if (started_at) {
        record_process(context, listed, *started_at);
    }
    if (report.value().is_leaving) {
        const std::uint64_t hash = stable_hash(listed.target);
        mark_leaving(context, listed.target, {hash, listed.started_at});
        mark_leaving(context, listed.target, {hash, started_at.value_or(listed.started_at)});
        co_return error{error_code::unavailable, "the target is shutting down", run_state::not_run};
    }
    co_return report;
}

void close_if_open(const std::shared_ptr<net::tcp_connection>& connection) {
    if (connection) {
        connection->close();
    }
}

/// Whether a connection that has carried nothing can carry a request.
bool is_usable(net::tcp_connection& connection) {
    return connection.is_open() && connection.peer() == net::peer_state::open;
}

} // namespace

net::task<result<process_connection>> connect_to_process(service_context& context,
                                                         target_process listed, process_check check,
                                                         time_point deadline, on_open_fn on_open) {
    const auto first = co_await open_connection(context, listed, deadline, on_open);
    if (!first) {
        co_return first.error();
    }
    if (check == process_check::none) {
        co_return process_connection{.connection = first.value(), .started_at = std::nullopt};
    }
    const std::shared_ptr<net::tcp_connection>& asked = first.value();
    // A target at its connection limit takes no second one.
    const auto second = co_await open_connection(context, listed, deadline, on_open);
    const std::shared_ptr<net::tcp_connection> unused = second ? second.value() : nullptr;
    process_connection out{.connection = unused, .started_at = std::nullopt};
    const bool must_know = check == process_check::require_listed;
    if (!must_know) {
        asked->set_deadline(std::min(deadline, context.clock() + report_timeout));
    }
    on_open(asked);
    const auto report = co_await ask_and_record(context, asked, listed);
    const bool was_cancelled = !asked->is_open() && !asked->timed_out();
    const bool is_final =
        !report && (must_know || was_cancelled || is_other_process(report.error()) ||
                    context.clock() >= deadline);
    if (is_final) {
        asked->close();
        close_if_open(unused);
        co_return report.error();
    }
    out.started_at = report ? report.value().started_at : std::nullopt;
    if (must_know && out.started_at != listed.started_at) {
        asked->close();
        close_if_open(unused);
        co_return error{error_code::unavailable, "the target does not run the process of its entry",
                        run_state::not_run};
    }
    if (unused && is_usable(*unused)) {
        asked->close();
        on_open(unused);
        co_return out;
    }
    close_if_open(unused);
    if (report && report.value().is_reusable) {
        asked->set_deadline(deadline);
        out.connection = asked;
        co_return out;
    }
    asked->close();
    if (must_know) {
        co_return error{error_code::overloaded, "the target ends connections before any request",
                        run_state::not_run};
    }
    // It may lead to another process.
    out.started_at.reset();
    const auto third = co_await open_connection(context, listed, deadline, on_open);
    if (!third) {
        co_return third.error();
    }
    out.connection = third.value();
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
