/// \file
/// Defines how a daemon sends requests to targets for daemons that reach none.
#pragma once

#include "net/http_server.hpp"
#include "serving/relay_call.hpp"
#include "serving/service_context.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace eelgrassdoor::serving {

/// Relays one request to the target that its order names, and the response back as it arrives. All
/// decisions on the request stay with the daemon that ordered it, which also counts it as load on
/// the target; it ends a request by closing its connection. A response that breaks off at the
/// target breaks off at that daemon, too. Runs on the event loop's thread.
class target_relay {
public:
    /// \p accepts_requests: whether this daemon is not shutting down. \p context must outlive this
    /// object.
    target_relay(service_context& context, std::function<bool()> accepts_requests)
        : m_context(context), m_accepts_requests(std::move(accepts_requests)) {}

    /// Handles a request for which is_relay_call() holds. Responds with 400 to a malformed order.
    net::task<> handle(net::server_exchange& exchange);
    /// Number of requests that are being relayed.
    [[nodiscard]] std::size_t active() const { return m_active; }

private:
    /// Why the request is not sent, as far as it is known without trying.
    [[nodiscard]] std::optional<relay_refusal> refusal_for(const relay_order& order);
    /// Why the request was not sent after \p failure to connect to its process.
    [[nodiscard]] relay_refusal refusal_after(const relay_order& order, const error& failure) const;
    /// Whether this daemon holds the request back.
    [[nodiscard]] bool is_quarantined(const relay_order& order,
                                      const net::http_request& request) const;
    net::task<> relay(net::server_exchange& exchange, relay_order order);

    service_context& m_context;
    std::function<bool()> m_accepts_requests;
    std::size_t m_active = 0;
};

} // namespace eelgrassdoor::serving
