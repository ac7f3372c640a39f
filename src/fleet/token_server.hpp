/// \file
/// Defines how the holder of customers' tokens answers other daemons.
#pragma once

#include "fleet/message.hpp"
#include "fleet/token_exchange.hpp"
#include "limits/customer_shares.hpp"
#include "net/asio.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace eelgrassdoor::fleet {

/// Sends a datagram to an endpoint.
using send_datagram_fn =
    std::function<void(std::string_view datagram, const net::udp::endpoint& to)>;

/// Takes tokens for the requests of other daemons, which wait in the same queue as the local ones.
/// Not thread-safe.
class token_server {
public:
    token_server(net::asio::any_io_executor executor, clock_fn clock,
                 limits::customer_shares& shares, token_exchange& exchange, send_datagram_fn send)
        : m_executor(std::move(executor)), m_clock(std::move(clock)), m_shares(shares),
          m_exchange(exchange), m_send(std::move(send)) {}

    /// Answers a request, at once and, when it has to wait, again when it is decided. A repeated
    /// request gets the same answer and takes no further token.
    void receive(const token_acquire& request, const net::udp::endpoint& from);
    /// Ends the wait of a request.
    void receive(const token_cancel& request, const net::udp::endpoint& from);

private:
    /// The sender of a request and its number.
    using request_key = std::pair<net::udp::endpoint, std::uint64_t>;
    struct request_state {
        token_verdict verdict;
        /// Null unless the request waits.
        std::shared_ptr<wait_cancellation> cancellation;
    };

    /// Takes a token at once or lets the request wait, and returns the first answer.
    token_verdict begin(const token_acquire& request, const request_key& key);
    net::task<> wait(token_acquire request, request_key key,
                     std::shared_ptr<wait_cancellation> cancellation);
    /// Drops answers that are too old to be asked for again.
    void evict_answered();

    net::asio::any_io_executor m_executor;
    clock_fn m_clock;
    limits::customer_shares& m_shares;
    token_exchange& m_exchange;
    send_datagram_fn m_send;
    std::map<request_key, request_state> m_requests;
    /// Requests in the order in which they were decided.
    std::deque<std::pair<time_point, request_key>> m_answered;
};

} // namespace eelgrassdoor::fleet
