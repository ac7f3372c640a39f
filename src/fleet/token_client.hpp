/// \file
/// Defines how a daemon obtains tokens of customers' rate limits for its callers' requests.
#pragma once

#include "base/random_source.hpp"
#include "fleet/token_exchange.hpp"
#include "fleet/token_server.hpp"
#include "limits/customer_shares.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Obtains tokens from this daemon's own buckets for the customers whose tokens it holds, and from
/// the customer's primary holder for all others, or from the secondary one while the primary does
/// not answer. Not thread-safe.
class token_client {
public:
    token_client(clock_fn clock, limits::customer_shares& shares, token_exchange& own,
                 send_datagram_fn send)
        : m_clock(std::move(clock)), m_shares(shares), m_own(own), m_send(std::move(send)) {}

    /// The endpoints of the other daemons that hold a customer's tokens, the primary first; to be
    /// set before the first wait().
    std::function<std::vector<net::udp::endpoint>(std::string_view customer)> holders_of;
    /// Whether this daemon is the customer's primary holder; to be set before the first try_take().
    std::function<bool(std::string_view customer)> is_primary;

    /// Takes a token without waiting. Fails for customers whose primary holder is another daemon.
    bool try_take(std::string_view customer);
    /// Obtains a token, and waits for it where routing::decide_wait() allows, or until
    /// \p cancellation is cancelled.
    net::task<token_outcome> wait(std::string customer, routing::waiting_request request,
                                  std::shared_ptr<wait_cancellation> cancellation);
    void receive(const token_verdict& verdict);

private:
    /// A request that other daemons were asked for a token for.
    struct pending_request {
        std::shared_ptr<wait_cancellation> cancellation;
        std::optional<token_verdict> verdict;
    };

    /// Asks the other holders in turn. Returns nothing when none of them decided.
    net::task<std::optional<token_outcome>>
    ask_holders(std::string customer, routing::waiting_request request,
                std::shared_ptr<wait_cancellation> cancellation);

    clock_fn m_clock;
    limits::customer_shares& m_shares;
    token_exchange& m_own;
    send_datagram_fn m_send;
    std::map<std::uint64_t, pending_request> m_pending;
    /// Starts at random, so that a restarted daemon does not get answers to its earlier requests.
    std::uint64_t m_last_number = secure_random_uint64();
};

} // namespace eelgrassdoor::fleet
