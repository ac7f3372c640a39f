#include "fleet/token_exchange.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// How long a request waits for borrowed tokens before it is decided whether it keeps waiting. Well
/// above a round trip between zones, and well below a quarter of the shortest latency objective,
/// within which a refusal is still useful to the caller.
constexpr duration borrow_timeout = milliseconds(25);
/// Prevents rounding from waking a request just before its token is available.
constexpr duration min_pause = milliseconds(1);

} // namespace

bool token_exchange::try_take(std::string_view customer) {
    const auto queue = m_queues.find(customer);
    const bool is_first = queue == m_queues.end() || !queue->second.has_on_time();
    return is_first && m_shares.try_take(customer, m_clock());
}

void token_exchange::request_tokens(const std::string& customer) {
    if (m_shares.try_begin_borrow(customer, m_clock())) {
        request_loan(customer,
                     to_datagram(token_request{customer, m_shares.borrow_amount(customer)}));
    }
}

token_exchange::waiter_ptr
token_exchange::enqueue_request(limits::token_wait_queue& queue,
                                const routing::waiting_request& request,
                                const std::shared_ptr<wait_cancellation>& cancellation) {
    const time_point now = m_clock();
    auto waiter = std::make_shared<limits::token_waiter>();
    waiter->wait_deadline = now + borrow_timeout;
    waiter->on_time_deadline = now + routing::max_wait_within_objective(request.objective);
    waiter->wake = [cancellation] { cancellation->m_wake.notify(); };
    queue.enqueue(waiter);
    return waiter;
}

routing::wait_decision token_exchange::decide(const std::string& customer,
                                              const limits::token_wait_queue& queue,
                                              const waiter_ptr& waiter,
                                              const routing::waiting_request& request) {
    const duration predicted = m_shares.predict_wait(customer, queue.ahead_of(waiter), m_clock());
    return routing::decide_wait(request, predicted);
}

time_point token_exchange::next_wake_time(const std::string& customer,
                                          const limits::token_wait_queue& queue,
                                          const waiter_ptr& waiter) {
    const time_point end = waiter->is_late
                               ? waiter->wait_deadline
                               : std::min(waiter->wait_deadline, waiter->on_time_deadline);
    if (queue.first() != waiter) {
        return end;
    }
    request_tokens(customer);
    const time_point now = m_clock();
    const duration until_own_token =
        std::max<duration>(m_shares.time_to_next_token(customer, now), min_pause);
    return std::min(end, now + std::min(until_own_token, m_shares.borrow_retry_interval));
}

void token_exchange::remove_waiter(const std::string& customer, const waiter_ptr& waiter) {
    const auto queue = m_queues.find(customer);
    queue->second.remove(waiter);
    queue->second.wake_first();
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
}

net::task<token_outcome> token_exchange::wait(std::string customer,
                                              routing::waiting_request request,
                                              std::shared_ptr<wait_cancellation> cancellation) {
    const time_point started_at = m_clock();
    limits::token_wait_queue& queue = m_queues[customer];
    const waiter_ptr waiter = enqueue_request(queue, request, cancellation);
    bool decided = false;
    token_outcome outcome;
    while (!cancellation->m_cancelled) {
        if (!m_shares.holds(customer)) {
            outcome.not_held = true;
            break;
        }
        const time_point now = m_clock();
        if (queue.demote_late(now)) {
            queue.wake_first();
        }
        if (queue.first() == waiter && m_shares.try_take(customer, now)) {
            outcome.taken = true;
            break;
        }
        if (now >= waiter->wait_deadline) {
            const routing::wait_decision decision = decide(customer, queue, waiter, request);
            outcome.predicted = decision.predicted;
            if (decided || !decision.should_wait) {
                outcome.retry_after =
                    m_shares.reserve_retry_after(customer, decision.predicted, now);
                break;
            }
            decided = true;
            queue.extend_wait(waiter, started_at + decision.max_wait);
        }
        const time_point next = next_wake_time(customer, queue, waiter);
        co_await cancellation->m_wake.wait_until(next);
    }
    remove_waiter(customer, waiter);
    co_return outcome;
}

std::string token_exchange::lend(const token_request& request) {
    const double amount = m_shares.lend(request.customer, request.requested, m_clock());
    return amount > 0 ? to_datagram(token_transfer{request.customer, amount}) : std::string();
}

void token_exchange::receive(const token_transfer& transfer) {
    m_shares.receive(transfer.customer, transfer.amount, m_clock());
    if (const auto queue = m_queues.find(transfer.customer); queue != m_queues.end()) {
        queue->second.wake_first();
    }
}

} // namespace eelgrassdoor::fleet
