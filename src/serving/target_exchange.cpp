#include "serving/target_exchange.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/http_client.hpp"
#include "serving/stall_detector.hpp"
#include "serving/target_connection.hpp"

#include <absl/cleanup/cleanup.h>

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// Number of daemons that are asked to relay one request.
constexpr std::size_t max_relays = 3;
/// A daemon that was not heard for this long is not asked. Twice the interval at which unchanged
/// digests are repeated.
constexpr duration relay_silence_timeout = milliseconds(1000);

/// Stated to the caller of a request whose quarantine this daemon has not learnt yet. Evidence
/// reaches it with one of the next digests.
constexpr duration quarantine_retry_time = seconds(1);

/// The error for a request that \p host has not sent to its target.
error refusal_error(std::string_view host, relay_refusal reason) {
    const bool is_other =
        reason == relay_refusal::target_leaving || reason == relay_refusal::other_process;
    return {is_other ? error_code::unavailable : error_code::target_failed,
            str_cat(host, " cannot relay the request"), run_state::not_run};
}

/// The error for a request that the relaying daemon has in quarantine and this one has not yet.
error relayed_quarantine_error() {
    return {error_code::unavailable, "targets crash on the request or a segment of its prompt",
            run_state::not_run, quarantine_retry_time};
}

} // namespace

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

routing::target_instance target_exchange::instance() const {
    return {stable_hash(target().id), target().started_at};
}

void target_exchange::record_head(const target_response& response) {
    if (response.target_is_leaving) {
        mark_leaving(m_context, target().id, instance());
    }
}

void target_exchange::record_limit(const target_response& response) {
    if (!response.malformed_limit.empty()) {
        m_context.log.write(observe::event::target_limit_rejected, target().id,
                            {{"limit", response.malformed_limit}});
        return;
    }
    const bool changed = m_context.loads.request_limits().record_response(
        instance(), response.request_limit, m_sent_at, m_context.clock());
    if (changed) {
        const std::string limit =
            response.request_limit ? str_cat(*response.request_limit) : std::string("none");
        m_context.log.write(observe::event::target_limit_changed, target().id,
                            {{"requests_per_second", limit}, {"source", "response"}});
        m_context.messenger.schedule_digest();
    }
}

target_process target_exchange::listed() const {
    return {
        .target = target().id, .endpoint = target().endpoint, .started_at = target().started_at};
}

std::optional<std::string> target_exchange::software_version() const {
    const bool is_known =
        m_process_started_at == target().started_at && target().version != routing::unknown_version;
    return is_known ? std::optional(target().version) : std::nullopt;
}

void target_exchange::use(const std::shared_ptr<net::tcp_connection>& connection) {
    m_connection = connection;
    if (m_closed) {
        m_connection->close();
    }
}

error target_exchange::closed_error() {
    return {error_code::target_failed, "the exchange was closed", run_state::not_run};
}

std::optional<error> target_exchange::withhold() {
    std::optional<error> why = quarantine_error(m_context, m_gate);
    if (!why && may_send && !may_send()) {
        why = {error_code::unavailable, "the request may not be sent any more", run_state::not_run};
    }
    if (why) {
        m_is_withheld = true;
        m_connection->close();
    }
    return why;
}

void target_exchange::send(const net::http_request& request) {
    m_exchange = std::make_unique<net::http_exchange>(m_connection, target_response_limits,
                                                      &m_context.response_memory);
    m_exchange->send(request);
    m_sent_at = m_context.clock();
}

net::task<result<void>> target_exchange::connect(time_point response_deadline,
                                                 process_check check) {
    const on_open_fn on_open = [this](const std::shared_ptr<net::tcp_connection>& connection) {
        use(connection);
    };
    const target_process process = listed();
    const result<process_connection> opened =
        co_await connect_to_process(m_context, process, check, response_deadline, on_open);
    if (m_closed) {
        co_return closed_error();
    }
    if (!opened) {
        co_return opened.error();
    }
    m_process_started_at = opened.value().started_at;
    co_return success();
}

net::task<result<target_response>>
target_exchange::open(make_request_fn make_request, std::string request_id,
                      time_point response_deadline, process_check check, quarantine_gate gate) {
    m_gate = std::move(gate);
    // Whether it still runs decides on an unframed response, so it is to be known.
    if (check == process_check::none && target().version == routing::unknown_version) {
        check = process_check::identify;
    }
    const bool is_direct =
        m_context.reachability.try_begin_direct_attempt(m_is_repeatable, m_context.clock());
    const bool is_probe = is_direct && m_context.reachability.is_partitioned();
    const absl::Cleanup end_attempt = [&] {
        if (is_probe) {
            m_context.reachability.end_direct_attempt();
        }
    };
    if (!is_direct) {
        result<target_response> relayed =
            co_await call_through_relay(make_request, request_id, response_deadline, check);
        const bool is_sent = relayed || relayed.error().run != run_state::not_run;
        const bool is_refused = m_is_refused || m_context.loads.is_leaving(instance());
        if (is_sent || m_closed || m_is_withheld || is_refused) {
            co_return relayed;
        }
    }
    const result<void> connected = co_await connect(response_deadline, check);
    if (connected) {
        if (std::optional<error> why = withhold()) {
            co_return std::move(*why);
        }
        net::http_request request = make_request();
        co_return co_await call_target(std::move(request), std::move(request_id));
    }
    if (!is_direct || m_closed || !m_context.reachability.is_partitioned()) {
        co_return connected.error();
    }
    co_return co_await call_through_relay(std::move(make_request), std::move(request_id),
                                          response_deadline, check);
}

net::task<result<target_response>> target_exchange::call_target(net::http_request request,
                                                                std::string request_id) {
    m_is_relayed = false;
    send(request);
    const stall_detector detector(m_context, target().id);
    const auto on_head = [this](const target_response& head) { record_head(head); };
    const result<target_response> response =
        co_await read_matching_head(m_context.codec, *m_exchange, std::move(request_id), on_head);
    if (response) {
        record_limit(response.value());
        record_response(m_context, target().id);
        watch_end();
    } else if (!m_closed) {
        record_cut_off();
        record_no_response(m_context, target().id, response.error().message);
    }
    co_return response;
}

net::task<result<target_response>> target_exchange::call_through_relay(make_request_fn make_request,
                                                                       std::string request_id,
                                                                       time_point response_deadline,
                                                                       process_check check) {
    const relay_order order{.process = listed(),
                            .check = check,
                            .request = request_id,
                            .gate = m_gate.kind,
                            .fingerprint = m_gate.suspects.request};
    const auto is_heard = [this](std::string_view host) {
        return m_context.messenger.heard_within(host, relay_silence_timeout);
    };
    const std::vector<fleet::member> relays =
        m_context.relays.order(m_context.messenger.active_members(), m_context.messenger.self(),
                               is_heard, m_context.clock(), m_context.random);
    error failure{error_code::target_failed, "no daemon that can relay the request was heard",
                  run_state::not_run};
    for (std::size_t i = 0; i < std::min(relays.size(), max_relays); ++i) {
        m_context.log.write(observe::event::request_relayed, request_id,
                            {{"target", target().id}, {"through", relays[i].host}});
        net::http_request request = make_request();
        add_relay_order(request, order);
        const result<relay_outcome> outcome = co_await call_relay(
            relays[i], std::move(request), request_id, response_deadline, check);
        if (outcome && !outcome.value().refusal) {
            record_head(outcome.value().response);
            record_limit(outcome.value().response);
            co_return outcome.value().response;
        }
        failure =
            outcome ? refusal_error(relays[i].host, *outcome.value().refusal) : outcome.error();
        if (outcome && outcome.value().refusal == relay_refusal::target_leaving) {
            mark_leaving(m_context, target().id, instance());
        }
        m_is_refused = outcome && (outcome.value().refusal == relay_refusal::unreachable ||
                                   outcome.value().refusal == relay_refusal::target_leaving ||
                                   outcome.value().refusal == relay_refusal::other_process);
        if (outcome && outcome.value().refusal == relay_refusal::quarantined) {
            m_is_withheld = true;
            failure = quarantine_error(m_context, m_gate).value_or(relayed_quarantine_error());
        }
        const bool is_silent = outcome && outcome.value().refusal == relay_refusal::target_silent;
        if (m_closed || m_is_withheld || m_is_refused || is_silent) {
            break;
        }
        m_context.relays.avoid(relays[i].host, m_context.clock());
        if (failure.run != run_state::not_run) {
            break;
        }
    }
    co_return failure;
}

net::task<result<target_exchange::relay_outcome>>
target_exchange::call_relay(fleet::member relay, net::http_request request, std::string request_id,
                            time_point response_deadline, process_check check) {
    const time_point connect_by =
        std::min(response_deadline, m_context.clock() + target_connect_timeout);
    auto connection =
        co_await net::http_client::connect(m_context.executor, relay.endpoint, connect_by);
    if (!connection) {
        co_return connection.error();
    }
    use(connection.value());
    if (m_closed) {
        co_return closed_error();
    }
    if (std::optional<error> why = withhold()) {
        co_return std::move(*why);
    }
    m_connection->set_deadline(response_deadline);
    m_context.metrics.count("requests_sent_through_relay_total");
    m_is_relayed = true;
    send(request);
    const result<void> head = co_await m_exchange->read_head();
    if (!head) {
        co_return head.error();
    }
    relay_outcome outcome{.refusal = refusal_of(m_exchange->response()), .response = {}};
    if (outcome.refusal) {
        co_return outcome;
    }
    m_process_started_at = take_process_start(m_exchange->response());
    outcome.response = m_context.codec.decode_response(m_exchange->response());
    const bool refusal_without_id = outcome.response.request_id.empty() && outcome.response.not_run;
    if (outcome.response.request_id != request_id && !refusal_without_id) {
        // An answer of the relaying daemon itself, such as to a request that exceeds its limits.
        const int status = m_exchange->response().status;
        co_return error{error_code::target_failed,
                        str_cat(relay.host, " answered a relayed request with status ", status),
                        status < 500 ? run_state::not_run : run_state::unknown};
    }
    // An older build does not check the process.
    const bool is_unchecked = check == process_check::require_listed && !outcome.response.not_run &&
                              m_process_started_at != target().started_at;
    if (is_unchecked) {
        m_connection->close();
        co_return error{error_code::target_failed,
                        str_cat(relay.host, " does not tell which process responded"),
                        run_state::unknown};
    }
    co_return outcome;
}

void target_exchange::watch_end() {
    if (response().framed) {
        return;
    }
    if (!m_end) {
        target_process process = listed();
        process.started_at = m_process_started_at.value_or(process.started_at);
        m_end = std::make_unique<response_end>(m_context, std::move(process), m_connection);
    }
    m_end->watch();
}

void target_exchange::record_cut_off() {
    if (!m_is_relayed) {
        serving::record_cut_off(m_context, target().id, *m_connection);
    }
}

net::task<result<void>> target_exchange::confirm_end(time_point deadline) {
    if (response().framed || m_is_end_confirmed) {
        co_return success();
    }
    if (!m_end) {
        watch_end();
    }
    const std::function<bool()> is_cancelled = [this] { return m_closed; };
    const result<void> confirmed = co_await m_end->confirm(deadline, is_cancelled);
    m_is_end_confirmed = confirmed.has_value();
    co_return confirmed;
}

net::task<result<bool>> target_exchange::read_body(time_point deadline) {
    m_connection->set_deadline(deadline);
    result<bool> more = co_await m_exchange->read_body();
    if (!more) {
        record_cut_off();
        co_return more;
    }
    if (more.value()) {
        watch_end();
        co_return more;
    }
    const result<void> confirmed = co_await confirm_end(deadline);
    if (!confirmed) {
        co_return confirmed.error();
    }
    co_return more;
}

net::task<result<void>> target_exchange::read_all(time_point deadline) {
    m_connection->set_deadline(deadline);
    const std::function<void()> on_progress = [this] {
        if (!m_exchange->complete()) {
            watch_end();
        }
    };
    const result<void> read = co_await m_exchange->read_all(on_progress);
    if (!read) {
        record_cut_off();
        co_return read.error();
    }
    co_return co_await confirm_end(deadline);
}

} // namespace eelgrassdoor::serving
