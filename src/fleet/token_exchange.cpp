#include "fleet/token_exchange.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// How long a request waits for an answer of other daemons before it is decided whether it waits
/// on. Far above a round trip between zones, far below a quarter of the shortest latency objective,
/// within which a refusal helps the caller.
constexpr duration loan_wait = milliseconds(25);
/// Keeps rounding from waking a request just before its token is there.
constexpr duration least_pause = milliseconds(1);

} // namespace

bool token_exchange::try_take(std::string_view customer) {
    const auto line = m_lines.find(customer);
    const bool is_first = line == m_lines.end() || !line->second.any_in_time();
    return is_first && m_shares.try_take(customer, m_clock());
}

void token_exchange::ask(const std::string& customer) {
    if (m_shares.may_ask(customer, m_clock())) {
        ask_others(to_datagram(token_request{customer, m_shares.tokens_to_ask(customer)}));
    }
}

token_exchange::waiter_ptr token_exchange::join(limits::token_line& line,
                                                const routing::waiting_request& request,
                                                const std::shared_ptr<caller_presence>& caller) {
    const time_point now = m_clock();
    auto waiter = std::make_shared<limits::token_waiter>();
    waiter->until = now + loan_wait;
    waiter->late_at = now + routing::max_wait_within_objective(request.objective);
    waiter->wake = [caller] { caller->m_wake.notify(); };
    line.join(waiter);
    return waiter;
}

routing::wait_decision token_exchange::decide(const std::string& customer,
                                              const limits::token_line& line,
                                              const waiter_ptr& waiter,
                                              const routing::waiting_request& request) {
    const duration predicted = m_shares.predict(customer, line.ahead_of(waiter), m_clock());
    return routing::decide_wait(request, predicted);
}

time_point token_exchange::next_look(const std::string& customer, const limits::token_line& line,
                                     const waiter_ptr& waiter) {
    const time_point end =
        waiter->is_late ? waiter->until : std::min(waiter->until, waiter->late_at);
    if (line.first() != waiter) {
        return end;
    }
    ask(customer);
    const time_point now = m_clock();
    const duration own = std::max<duration>(m_shares.until_next(customer, now), least_pause);
    return std::min(end, now + std::min(own, m_shares.ask_pause()));
}

void token_exchange::leave(const std::string& customer, const waiter_ptr& waiter) {
    const auto line = m_lines.find(customer);
    line->second.remove(waiter);
    line->second.wake_first();
    if (line->second.empty()) {
        m_lines.erase(line);
    }
}

net::task<token_outcome> token_exchange::wait(std::string customer,
                                              routing::waiting_request request,
                                              std::shared_ptr<caller_presence> caller) {
    const time_point began = m_clock();
    limits::token_line& line = m_lines[customer];
    const waiter_ptr waiter = join(line, request, caller);
    bool decided = false;
    token_outcome outcome;
    while (!caller->m_left) {
        const time_point now = m_clock();
        if (line.note_time(now)) {
            line.wake_first();
        }
        if (line.first() == waiter && m_shares.try_take(customer, now)) {
            outcome.taken = true;
            break;
        }
        if (now >= waiter->until) {
            const routing::wait_decision decision = decide(customer, line, waiter, request);
            outcome.predicted = decision.predicted;
            if (decided || !decision.should_wait) {
                outcome.retry_after = m_shares.promise_return(customer, decision.predicted, now);
                break;
            }
            decided = true;
            line.keep_until(waiter, began + decision.max_wait);
        }
        const time_point next = next_look(customer, line, waiter);
        co_await caller->m_wake.wait_until(next);
    }
    leave(customer, waiter);
    co_return outcome;
}

std::string token_exchange::lend(const token_request& request) {
    const double amount = m_shares.lend(request.customer, request.want, m_clock());
    return amount > 0 ? to_datagram(token_transfer{request.customer, amount}) : std::string();
}

void token_exchange::receive(const token_transfer& transfer) {
    m_shares.receive(transfer.customer, transfer.amount, m_clock());
    if (const auto line = m_lines.find(transfer.customer); line != m_lines.end()) {
        line->second.wake_first();
    }
}

} // namespace eelgrassdoor::fleet
