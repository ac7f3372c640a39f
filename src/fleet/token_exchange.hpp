/// \file
/// Defines how requests wait for tokens of customers' rate limits at the daemon that holds them.
#pragma once

#include "base/clock.hpp"
#include "fleet/message.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_wait_queue.hpp"
#include "net/notification.hpp"
#include "routing/wait_rules.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// Cancels the wait for a token when the caller disconnects.
class wait_cancellation {
public:
    explicit wait_cancellation(const net::asio::any_io_executor& executor) : m_wake(executor) {}

    /// Ends the wait without a token.
    void cancel() {
        m_cancelled = true;
        m_wake.notify();
    }

private:
    friend class token_exchange;
    friend class token_client;

    net::notification m_wake;
    bool m_cancelled = false;
};

/// How a wait for a token ended.
struct token_outcome {
    /// Whether a token was taken.
    bool taken = false;
    /// Whether the wait ended because this daemon does not hold the customer's tokens any more.
    bool not_held = false;
    /// The predicted wait on which the decision to wait was based; zero if none was made.
    duration predicted{};
    /// Delay after which a retry is likely to succeed; set only if no token was taken.
    duration retry_after{};
};

/// Takes tokens for requests from the own share of the rate limit, and borrows from the other
/// holders when it has none. Not thread-safe.
class token_exchange {
public:
    token_exchange(clock_fn clock, limits::customer_shares& shares)
        : m_clock(std::move(clock)), m_shares(shares) {}

    /// Sends a datagram to the other holders of the customer's tokens; to be set before the first
    /// wait().
    std::function<void(std::string_view customer, std::string_view datagram)> request_loan;

    /// Takes a token without waiting. Fails if the own share has none, or if requests are queued
    /// that can still meet their latency objective.
    bool try_take(std::string_view customer);
    /// Waits for a token in the order of limits::token_wait_queue for as long as
    /// routing::decide_wait() allows and this daemon holds the customer's tokens, or until
    /// \p cancellation is cancelled.
    net::task<token_outcome> wait(std::string customer, routing::waiting_request request,
                                  std::shared_ptr<wait_cancellation> cancellation);
    /// Takes tokens from the own share for another daemon. Returns the token_transfer datagram for
    /// it, or an empty string when nothing is lent.
    std::string lend(const token_request& request);
    /// Adds borrowed tokens to the own share and wakes the first waiting request.
    void receive(const token_transfer& transfer);

private:
    using waiter_ptr = limits::token_wait_queue::waiter_ptr;

    /// Requests a loan, unless the last request was too recent.
    void request_tokens(const std::string& customer);
    /// Queues a request. Whether it keeps waiting is decided after the time to borrow a token.
    waiter_ptr enqueue_request(limits::token_wait_queue& queue,
                               const routing::waiting_request& request,
                               const std::shared_ptr<wait_cancellation>& cancellation);
    /// Decides whether a request keeps waiting after the time to borrow a token has passed.
    [[nodiscard]] routing::wait_decision decide(const std::string& customer,
                                                const limits::token_wait_queue& queue,
                                                const waiter_ptr& waiter,
                                                const routing::waiting_request& request);
    /// The latest time at which the request has to check for a token again. Requests tokens from
    /// the other daemons if it is first in the queue.
    [[nodiscard]] time_point next_wake_time(const std::string& customer,
                                            const limits::token_wait_queue& queue,
                                            const waiter_ptr& waiter);
    /// Removes a request from its queue and wakes the next one.
    void remove_waiter(const std::string& customer, const waiter_ptr& waiter);

    clock_fn m_clock;
    limits::customer_shares& m_shares;
    /// Queues of waiting requests by customer; a queue is removed when it is empty.
    std::map<std::string, limits::token_wait_queue, std::less<>> m_queues;
};

} // namespace eelgrassdoor::fleet
