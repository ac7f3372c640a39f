#include "serving/target_exchange.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "serving/stall_detector.hpp"
#include "serving/target_connection.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// Timeout for connecting to a target. A round trip between zones takes a few milliseconds, and
/// the kernel accepts connections even when the target is busy, so only a target that vanished
/// without a reset exceeds it. Two such timeouts leave half of the shortest latency objective.
constexpr duration connect_timeout = milliseconds(75);
/// Limit of responses to other requests that are skipped while waiting for the matching one.
constexpr int max_unrelated_responses = 3;
/// Size limits of a response, which may be held in memory as a whole.
constexpr net::parse_limits response_limits{.max_header_bytes = 32 * 1024,
                                            .max_body_bytes = 16ULL * 1024 * 1024};

} // namespace

routing::target_failure failure_of(const error& why) {
    return why.run == run_state::not_run ? routing::target_failure::unreachable
                                         : routing::target_failure::response_failed;
}

target_load_guard::target_load_guard(service_context& context, routing::fleet_target target,
                                     work_kind kind)
    : m_context(context), m_target(std::move(target)), m_kind(kind) {
    if (m_kind == work_kind::online) {
        m_context.loads.record_online_sent(m_target.id);
    } else {
        m_context.loads.record_batch_sent(m_target.id);
    }
    m_context.messenger.schedule_digest();
}

target_load_guard::~target_load_guard() {
    if (m_kind == work_kind::online) {
        m_context.loads.record_online_ended(m_target.id);
    } else {
        m_context.loads.record_batch_ended(m_target.id);
    }
    m_context.messenger.schedule_digest();
}

void target_exchange::close() {
    m_closed = true;
    if (m_connection) {
        m_connection->close();
    }
}

void target_exchange::mark_target_leaving() {
    const bool changed =
        m_context.loads.mark_leaving({stable_hash(target().id), target().started_at});
    if (changed) {
        m_context.log.write(observe::event::target_leaving, target().id,
                            {{"started_at", std::to_string(target().started_at)}});
        m_context.messenger.schedule_digest();
    }
}

void target_exchange::record_limit(const target_response& response) {
    if (!response.malformed_limit.empty()) {
        m_context.log.write(observe::event::target_limit_rejected, target().id,
                            {{"limit", response.malformed_limit}});
        return;
    }
    const bool changed = m_context.loads.request_limits().record_response(
        {stable_hash(target().id), target().started_at}, response.request_limit, m_sent_at,
        m_context.clock());
    if (changed) {
        const std::string limit =
            response.request_limit ? str_cat(*response.request_limit) : std::string("none");
        m_context.log.write(observe::event::target_limit_changed, target().id,
                            {{"requests_per_second", limit}, {"source", "response"}});
        m_context.messenger.schedule_digest();
    }
}

net::task<result<target_response>> target_exchange::open(net::http_request request,
                                                         std::string request_id,
                                                         time_point response_deadline) {
    const time_point connect_by = std::min(response_deadline, m_context.clock() + connect_timeout);
    result<std::shared_ptr<net::tcp_connection>> connection =
        co_await connect_to_target(m_context, target().endpoint, connect_by);
    if (!connection) {
        co_return connection.error();
    }
    m_connection = std::move(connection.value());
    if (m_closed) {
        m_connection->close();
        co_return error{error_code::target_failed, "the exchange was closed", run_state::not_run};
    }
    m_connection->set_deadline(response_deadline);
    m_exchange = std::make_unique<net::http_exchange>(m_connection, response_limits,
                                                      &m_context.response_memory);
    m_exchange->send(request);
    m_sent_at = m_context.clock();
    const stall_detector detector(m_context, target().id);
    for (int unrelated = 0; unrelated <= max_unrelated_responses; ++unrelated) {
        const result<void> head = co_await m_exchange->read_head();
        if (!head) {
            co_return head.error();
        }
        target_response response = m_context.codec.decode_response(m_exchange->response());
        if (response.target_is_leaving) {
            mark_target_leaving();
        }
        const bool refusal_without_id = response.request_id.empty() && response.not_run;
        if (response.request_id == request_id || refusal_without_id) {
            record_limit(response);
            co_return response;
        }
        const result<void> skipped = co_await m_exchange->read_all();
        if (!skipped) {
            co_return skipped.error();
        }
    }
    co_return error{error_code::target_failed, "the target's responses belong to other requests",
                    run_state::unknown};
}

net::task<result<bool>> target_exchange::read_body(time_point deadline) {
    m_connection->set_deadline(deadline);
    co_return co_await m_exchange->read_body();
}

net::task<result<void>> target_exchange::read_all(time_point deadline) {
    m_connection->set_deadline(deadline);
    co_return co_await m_exchange->read_all();
}

} // namespace eelgrassdoor::serving
