#include "serving/target_exchange.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/http_client.hpp"
#include "serving/stall_detector.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// How long a target may take to accept a connection. Zones are a few milliseconds apart and the
/// kernel accepts for a busy target; a target that is gone without a reset never does. Two such
/// waits leave half of the shortest latency objective.
constexpr duration connect_timeout = milliseconds(75);
/// Answers to earlier requests that are passed over before the wanted one.
constexpr int max_foreign_answers = 3;
/// An answer that is kept in memory as a whole.
constexpr net::parse_limits answer_limits{.max_header_bytes = 32 * 1024,
                                          .max_body_bytes = 64ULL * 1024 * 1024};

} // namespace

routing::target_failure failure_of(const error& why) {
    return why.run == run_state::not_run ? routing::target_failure::unreachable
                                         : routing::target_failure::broke_off;
}

target_place::target_place(host_context& context, routing::fleet_target target, work_kind kind)
    : m_context(context), m_target(std::move(target)), m_kind(kind) {
    if (m_kind == work_kind::online) {
        m_context.loads.note_online_sent(m_target.id);
    } else {
        m_context.loads.note_batch_sent(m_target.id);
    }
    m_context.link.note_change();
}

target_place::~target_place() {
    if (m_kind == work_kind::online) {
        m_context.loads.note_online_ended(m_target.id);
    } else {
        m_context.loads.note_batch_ended(m_target.id);
    }
    m_context.link.note_change();
}

void target_exchange::close() {
    m_closed = true;
    if (m_connection) {
        m_connection->close();
    }
}

void target_exchange::note_leaving() {
    const bool news = m_context.loads.note_leaving({stable_hash(target().id), target().started_at});
    if (news) {
        m_context.log.write(observe::event::target_leaving, target().id,
                            {{"started_at", std::to_string(target().started_at)}});
        m_context.link.note_change();
    }
}

net::task<result<target_answer>>
target_exchange::open(net::http_request request, std::string request_id, time_point answer_by) {
    const time_point connect_by = std::min(answer_by, m_context.clock() + connect_timeout);
    result<std::shared_ptr<net::tcp_connection>> opened =
        co_await net::http_client::connect(m_context.executor, target().endpoint, connect_by);
    if (!opened) {
        co_return opened.error();
    }
    m_connection = std::move(opened.value());
    if (m_closed) {
        m_connection->close();
        co_return error{error_code::target_failed, "the exchange was ended", run_state::not_run};
    }
    m_connection->set_deadline(answer_by);
    m_exchange = std::make_unique<net::http_exchange>(m_connection, answer_limits);
    m_exchange->send(request);
    const stall_watch watch(m_context, target().id);
    for (int foreign = 0; foreign <= max_foreign_answers; ++foreign) {
        const result<void> head = co_await m_exchange->read_head();
        if (!head) {
            co_return head.error();
        }
        target_answer answer = m_context.wire.decode_answer(m_exchange->response());
        if (answer.target_leaves) {
            note_leaving();
        }
        const bool refusal_without_id = answer.request_id.empty() && answer.not_run;
        if (answer.request_id == request_id || refusal_without_id) {
            co_return answer;
        }
        const result<void> skipped = co_await m_exchange->read_all();
        if (!skipped) {
            co_return skipped.error();
        }
    }
    co_return error{error_code::target_failed, "the target answered other requests",
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
