#include "serving/target_connection.hpp"

#include "base/text.hpp"
#include "net/http_client.hpp"
#include "serving/target_process.hpp"

namespace eelgrassdoor::serving {

namespace {

/// Limit of responses to other requests that are skipped while waiting for the matching one.
constexpr int max_unrelated_responses = 3;

} // namespace

net::task<result<std::shared_ptr<net::tcp_connection>>> connect_to_target(service_context& context,
                                                                          std::string target,
                                                                          std::string endpoint,
                                                                          time_point deadline) {
    result<std::shared_ptr<net::tcp_connection>> connection =
        error{error_code::target_failed,
              str_cat("cannot connect to ", endpoint, ": blocked by a simulated partition"),
              run_state::not_run};
    if (!context.is_partitioned_from_target || !context.is_partitioned_from_target(endpoint)) {
        connection = co_await net::http_client::connect(context.executor, endpoint, deadline);
    }
    if (!connection) {
        record_no_response(context, target, connection.error().message);
    }
    co_return connection;
}

void record_response(service_context& context, std::string_view target) {
    if (context.reachability.record_response(context.clock())) {
        context.log.write(observe::event::targets_reachable, target);
    }
}

void record_no_response(service_context& context, std::string_view target,
                        std::string_view reason) {
    if (context.reachability.record_no_response(target, context.clock())) {
        context.log.write(observe::event::targets_unreachable, target,
                          {{"reason", std::string(reason)}});
        // The targets that were tried are not to blame.
        context.loads.forget_unreachable();
    }
}

void record_target_failure(service_context& context, std::string_view target,
                           const error& failure) {
    const bool is_unreachable = failure.run == run_state::not_run;
    if (is_other_process(failure) || (is_unreachable && context.reachability.is_partitioned())) {
        return;
    }
    // A target without a report has accepted the connection.
    const bool was_connected = !is_unreachable || failure.code == error_code::overloaded;
    context.loads.record_failure(target,
                                 was_connected ? routing::target_failure::response_failed
                                               : routing::target_failure::unreachable,
                                 context.clock());
}

void record_cut_off(service_context& context, std::string_view target,
                    net::tcp_connection& connection) {
    if (connection.is_open() && connection.peer() == net::peer_state::closed) {
        context.ended_connections.record(target, context.clock());
    }
}

net::task<result<target_response>>
read_matching_head(const protocol_codec& codec, net::http_exchange& exchange,
                   std::string request_id, std::function<void(const target_response&)> on_head) {
    for (int unrelated = 0; unrelated <= max_unrelated_responses; ++unrelated) {
        const result<void> head = co_await exchange.read_head();
        if (!head) {
            co_return head.error();
        }
        target_response response = codec.decode_response(exchange.response());
        on_head(response);
        const bool refusal_without_id = response.request_id.empty() && response.not_run;
        if (response.request_id == request_id || refusal_without_id) {
            co_return response;
        }
        const result<void> skipped = co_await exchange.read_all();
        if (!skipped) {
            co_return skipped.error();
        }
    }
    co_return error{error_code::target_failed, "the target's responses belong to other requests",
                    run_state::unknown};
}

void mark_leaving(service_context& context, std::string_view target,
                  const routing::target_instance& instance) {
    if (context.loads.mark_leaving(instance)) {
        context.log.write(observe::event::target_leaving, target,
                          {{"started_at", std::to_string(instance.started_at)}});
        context.messenger.schedule_digest();
    }
}

} // namespace eelgrassdoor::serving
