/// \file
/// Defines how a daemon gets tokens of customers' rates, and how requests wait for them.
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

/// Ends the wait of a caller that has gone.
class caller_presence {
public:
    explicit caller_presence(const net::asio::any_io_executor& executor) : m_wake(executor) {}

    /// The caller has gone.
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
                                  std::shared_ptr<caller_presence> caller);
    /// The datagram that answers another daemon's request; empty when nothing is lent.
    std::string lend(const token_request& request);
    void receive(const token_transfer& transfer);

private:
    using waiter_ptr = limits::token_line::waiter_ptr;

    void ask(const std::string& customer);
    /// Puts a request into the line; it is decided after a moment whether it stays.
    waiter_ptr join(limits::token_line& line, const routing::waiting_request& request,
                    const std::shared_ptr<caller_presence>& caller);
    /// What decides whether a request goes on waiting, once its time to wait for loans is over.
    [[nodiscard]] routing::wait_decision decide(const std::string& customer,
                                                const limits::token_line& line,
                                                const waiter_ptr& waiter,
                                                const routing::waiting_request& request);
    /// When the request has to look again, if nothing wakes it before. Asks the others for tokens
    /// if it is the first.
    [[nodiscard]] time_point next_look(const std::string& customer, const limits::token_line& line,
                                       const waiter_ptr& waiter);
    void leave(const std::string& customer, const waiter_ptr& waiter);

    clock_fn m_clock;
    limits::customer_shares& m_shares;
    std::map<std::string, limits::token_line, std::less<>> m_lines;
};

} // namespace eelgrassdoor::fleet
