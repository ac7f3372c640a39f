/// \file
/// Defines how a daemon gets tokens of customers' rates from the others.
#pragma once

#include "base/clock.hpp"
#include "fleet/message.hpp"
#include "limits/customer_shares.hpp"
#include "net/notification.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Takes tokens for requests, and asks other daemons for some when the own share has none.
class token_exchange {
public:
    token_exchange(net::asio::any_io_executor executor, clock_fn clock,
                   limits::customer_shares& shares)
        : m_executor(std::move(executor)), m_clock(std::move(clock)), m_shares(shares) {}

    /// Sends a datagram to the daemons that may lend tokens.
    std::function<void(std::string_view datagram)> ask_others;

    /// Takes a token of the customer's rate, if need be from other daemons.
    net::task<bool> take(std::string customer);
    /// When a token of the customer's rate is likely to be there.
    duration until_token(std::string_view customer) {
        return m_shares.until_next(customer, m_clock());
    }
    /// The datagram that answers another daemon's request; empty when nothing is lent.
    std::string lend(const token_request& request);
    void receive(const token_transfer& transfer);

private:
    net::asio::any_io_executor m_executor;
    clock_fn m_clock;
    limits::customer_shares& m_shares;
    /// Requests that wait for tokens of a customer.
    std::map<std::string, std::vector<std::shared_ptr<net::notification>>, std::less<>> m_waiters;
};

} // namespace eelgrassdoor::fleet
