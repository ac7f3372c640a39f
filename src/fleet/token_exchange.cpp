#include "fleet/token_exchange.hpp"

namespace eelgrassdoor::fleet {

namespace {

/// How long a request waits for tokens of other daemons. Far above a round trip between zones, far
/// below a quarter of the shortest latency objective, within which a refusal helps the caller.
constexpr duration token_wait = milliseconds(25);

} // namespace

net::task<bool> token_exchange::take(std::string customer) {
    if (m_shares.try_take(customer, m_clock())) {
        co_return true;
    }
    if (m_shares.may_ask(customer, m_clock())) {
        ask_others(to_datagram(token_request{customer, m_shares.tokens_to_ask(customer)}));
    }
    const time_point give_up = m_clock() + token_wait;
    const auto waiter = std::make_shared<net::notification>(m_executor);
    m_waiters[customer].push_back(waiter);
    bool taken = false;
    bool notified = true;
    while (!taken && notified) {
        notified = co_await waiter->wait_until(give_up);
        taken = notified && m_shares.try_take(customer, m_clock());
    }
    std::erase(m_waiters[customer], waiter);
    co_return taken;
}

std::string token_exchange::lend(const token_request& request) {
    const double amount = m_shares.lend(request.customer, request.want, m_clock());
    return amount > 0 ? to_datagram(token_transfer{request.customer, amount}) : std::string();
}

void token_exchange::receive(const token_transfer& transfer) {
    m_shares.receive(transfer.customer, transfer.amount);
    const auto waiting = m_waiters.find(transfer.customer);
    if (waiting == m_waiters.end()) {
        return;
    }
    for (const std::shared_ptr<net::notification>& waiter : waiting->second) {
        waiter->notify();
    }
}

} // namespace eelgrassdoor::fleet
