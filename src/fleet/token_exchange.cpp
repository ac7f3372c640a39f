#include "fleet/token_exchange.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// How long a request waits for an answer of other daemons before it is decided whether it waits
/// on. Far above a round trip between zones, far below a quarter of the shortest latency objective,
/// within which a refusal helps the caller.
constexpr duration token_wait = milliseconds(25);
/// Keeps rounding from waking a request just before its token is there.
constexpr duration least_pause = milliseconds(1);

} // namespace

bool token_exchange::try_take(std::string_view customer) {
    const auto waiting = m_lines.find(customer);
    const bool is_first = waiting == m_lines.end() || !waiting->second.any_in_time();
    return is_first && m_shares.try_take(customer, m_clock());
}

void token_exchange::ask(const std::string& customer) {
    if (m_shares.may_ask(customer, m_clock())) {
        ask_others(to_datagram(token_request{customer, m_shares.tokens_to_ask(customer)}));
    }
}

void token_exchange::wake_first(const limits::token_line& waiting) {
    static_cast<waiting_caller&>(*waiting.first()).m_wake.notify();
}

time_point token_exchange::next_try(const std::string& customer) {
    const time_point now = m_clock();
    const duration own = std::max<duration>(m_shares.until_next(customer, now), least_pause);
    return now + std::min(own, m_shares.ask_pause());
}

net::task<token_outcome> token_exchange::wait(std::string customer,
                                              routing::waiting_request request,
                                              std::shared_ptr<waiting_caller> waiter) {
    const time_point began = m_clock();
    limits::token_line& line = m_lines[customer];
    waiter->until = began + token_wait;
    waiter->late_at = began + routing::longest_wait_in_time(request.objective);
    line.join(waiter);
    bool decided = false;
    token_outcome outcome;
    while (!waiter->m_left) {
        const time_point now = m_clock();
        if (line.note_time(now)) {
            wake_first(line);
        }
        if (line.first() == waiter && m_shares.try_take(customer, now)) {
            outcome.taken = true;
            break;
        }
        if (now >= waiter->until) {
            const duration predicted = m_shares.predict(customer, line.ahead_of(waiter), now);
            const routing::wait_decision decision = routing::decide_wait(request, predicted);
            outcome.predicted = predicted;
            if (decided || !decision.waits) {
                outcome.retry_after = m_shares.promise_return(customer, predicted, now);
                break;
            }
            decided = true;
            line.keep_until(waiter, began + decision.at_most);
        }
        time_point next =
            waiter->is_late ? waiter->until : std::min(waiter->until, waiter->late_at);
        if (line.first() == waiter) {
            ask(customer);
            next = std::min(next, next_try(customer));
        }
        co_await waiter->m_wake.wait_until(next);
    }
    line.remove(waiter);
    if (line.empty()) {
        m_lines.erase(customer);
    } else {
        wake_first(line);
    }
    co_return outcome;
}

std::string token_exchange::lend(const token_request& request) {
    const double amount = m_shares.lend(request.customer, request.want, m_clock());
    return amount > 0 ? to_datagram(token_transfer{request.customer, amount}) : std::string();
}

void token_exchange::receive(const token_transfer& transfer) {
    m_shares.receive(transfer.customer, transfer.amount, m_clock());
    if (const auto waiting = m_lines.find(transfer.customer); waiting != m_lines.end()) {
        wake_first(waiting->second);
    }
}

} // namespace eelgrassdoor::fleet
