/// \file
/// Defines how a daemon gets tokens of customers' rates, and how requests wait for them.
#pragma once

#include "base/clock.hpp"
#include "fleet/message.hpp"
#include "limits/customer_shares.hpp"
#include "limits/token_line.hpp"
#include "net/notification.hpp"
#include "routing/wait_rules.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// A request that waits for a token, as its coroutine sees it.
class waiting_caller : public limits::token_waiter {
public:
    explicit waiting_caller(const net::asio::any_io_executor& executor) : m_wake(executor) {}

    /// The caller has gone: the wait ends.
    void leave() {
        m_left = true;
        m_wake.notify();
    }

private:
    friend class token_exchange;

    net::notification m_wake;
    bool m_left = false;
};

/// How a wait for a token ended.
struct token_outcome {
    bool taken = false;
    /// The wait that was predicted when it was decided whether the request waits; zero before.
    duration predicted{};
    /// When an attempt is likely to succeed, unless a token was taken.
    duration retry_after{};
};

/// Takes tokens for requests, and asks other daemons for some when the own share has none.
class token_exchange {
public:
    token_exchange(clock_fn clock, limits::customer_shares& shares)
        : m_clock(std::move(clock)), m_shares(shares) {}

    /// Sends a datagram to the daemons that may lend tokens.
    std::function<void(std::string_view datagram)> ask_others;

    /// Takes a token of the customer's rate at once, unless requests wait that can be in time.
    bool try_take(std::string_view customer);
    /// Waits for a token in the order of limits::token_line, if routing::decide_wait() lets the
    /// request.
    net::task<token_outcome> wait(std::string customer, routing::waiting_request request,
                                  std::shared_ptr<waiting_caller> waiter);
    /// The datagram that answers another daemon's request; empty when nothing is lent.
    std::string lend(const token_request& request);
    void receive(const token_transfer& transfer);

private:
    void ask(const std::string& customer);
    static void wake_first(const limits::token_line& waiting);
    /// When the first of a line may succeed, or has to ask the others again.
    [[nodiscard]] time_point next_try(const std::string& customer);

    clock_fn m_clock;
    limits::customer_shares& m_shares;
    std::map<std::string, limits::token_line, std::less<>> m_lines;
};

} // namespace eelgrassdoor::fleet
