#include "fleet/token_server.hpp"

namespace eelgrassdoor::fleet {

namespace {

/// How long an answer is kept for a repeated request. Requests are repeated until they are
/// answered, every few hundred milliseconds.
constexpr duration answer_retention = seconds(2);

std::uint32_t to_milliseconds(duration value) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_ms(value)));
}

routing::waiting_request to_waiting_request(const token_acquire& request) {
    return {.time_left = milliseconds(request.time_left_ms),
            .elapsed = milliseconds(request.elapsed_ms),
            .objective = milliseconds(request.objective_ms),
            .service_time = milliseconds(request.service_ms)};
}

} // namespace

void token_server::receive(const token_acquire& request, const net::udp::endpoint& from) {
    evict_answered();
    const request_key key{from, request.number};
    const auto known = m_requests.find(key);
    const token_verdict verdict =
        known != m_requests.end() ? known->second.verdict : begin(request, key);
    m_send(to_datagram(verdict), from);
}

token_verdict token_server::begin(const token_acquire& request, const request_key& key) {
    token_verdict verdict{.number = request.number};
    if (!m_shares.holds(request.customer)) {
        return verdict;
    }
    request_state state;
    if (m_exchange.try_take(request.customer)) {
        verdict.status = token_status::granted;
        m_answered.emplace_back(m_clock(), key);
    } else {
        verdict.status = token_status::queued;
        state.cancellation = std::make_shared<wait_cancellation>(m_executor);
        net::asio::co_spawn(m_executor, wait(request, key, state.cancellation),
                            net::asio::detached);
    }
    state.verdict = verdict;
    m_requests[key] = state;
    return verdict;
}

net::task<> token_server::wait(token_acquire request, request_key key,
                               std::shared_ptr<wait_cancellation> cancellation) {
    const token_outcome outcome =
        co_await m_exchange.wait(request.customer, to_waiting_request(request), cancellation);
    const token_status refusal =
        outcome.not_held ? token_status::not_holder : token_status::refused;
    const token_verdict verdict{.number = request.number,
                                .status = outcome.taken ? token_status::granted : refusal,
                                .predicted_ms = to_milliseconds(outcome.predicted),
                                .retry_after_ms = to_milliseconds(outcome.retry_after)};
    m_requests[key] = {verdict, nullptr};
    m_answered.emplace_back(m_clock(), key);
    m_send(to_datagram(verdict), key.first);
}

void token_server::receive(const token_cancel& request, const net::udp::endpoint& from) {
    const auto known = m_requests.find({from, request.number});
    if (known != m_requests.end() && known->second.cancellation) {
        known->second.cancellation->cancel();
    }
}

void token_server::evict_answered() {
    while (!m_answered.empty() && m_clock() - m_answered.front().first > answer_retention) {
        m_requests.erase(m_answered.front().second);
        m_answered.pop_front();
    }
}

} // namespace eelgrassdoor::fleet
