#include "fleet/rate_limiter.hpp"

#include "net/endpoint.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// Twice the interval at which the holders are determined.
constexpr duration max_update_interval = milliseconds(500);

/// Calls \p handle with the decoded message. Returns false when \p body is malformed.
template <typename Message, typename Handler>
bool decode_and(std::string_view body, Handler handle) {
    const auto message = peer::decode<Message>(body);
    if (message) {
        handle(*message);
    }
    return message.has_value();
}

} // namespace

rate_limiter::rate_limiter(net::asio::any_io_executor executor, clock_fn clock, clock_fn boot_clock,
                           member self, limits::customer_shares& shares, send_datagram_fn send)
    : m_clock(std::move(clock)), m_boot_clock(std::move(boot_clock)), m_self(std::move(self)),
      m_shares(shares), m_send(std::move(send)), m_exchange(m_clock, shares),
      m_client(m_clock, shares, m_exchange, m_send),
      m_server(std::move(executor), m_clock, shares, m_exchange, m_send) {
    m_exchange.request_loan = [this](std::string_view customer, std::string_view datagram) {
        for (const net::udp::endpoint& each : other_holders(customer)) {
            m_send(datagram, each);
        }
    };
    m_client.holders_of = [this](std::string_view customer) { return other_holders(customer); };
    m_client.is_primary = [this](std::string_view customer) {
        check_interruption();
        return is_primary(customer);
    };
}

void rate_limiter::update(const limits::customer_limits& limits, const member_map& members,
                          const is_heard_fn& is_heard) {
    m_updated_at = m_clock();
    m_updated_at_boot_time = m_boot_clock();
    m_limits = limits;
    std::vector<limits::frontend_host> frontends;
    m_endpoints.clear();
    for (const auto& [host, each] : members) {
        const result<net::tcp::endpoint> endpoint = net::parse_endpoint(each.endpoint);
        if (host == m_self.host || !each.serves_callers || !endpoint) {
            continue;
        }
        frontends.push_back({host, each.availability_zone, each.holds_tokens && is_heard(host)});
        m_endpoints[host] = {endpoint.value().address(), endpoint.value().port()};
    }
    if (m_self.serves_callers) {
        frontends.push_back({m_self.host, m_self.availability_zone, true});
    }
    m_holders.set_frontends(std::move(frontends));
    m_shares.configure(
        limits,
        [this](std::string_view customer) { return m_holders.share_of(customer, m_self.host); },
        m_clock());
}

bool rate_limiter::is_primary(std::string_view customer) {
    const std::vector<std::string>& hosts = m_holders.holders_of(customer);
    return !hosts.empty() && hosts.front() == m_self.host;
}

std::size_t rate_limiter::held_customers() {
    return static_cast<std::size_t>(
        std::count_if(m_limits.begin(), m_limits.end(),
                      [&](const auto& entry) { return is_primary(entry.first); }));
}

void rate_limiter::check_interruption() {
    const duration elapsed = m_clock() - m_updated_at;
    const duration elapsed_boot_time = m_boot_clock() - m_updated_at_boot_time;
    if (m_limits.empty() || elapsed_boot_time < max_update_interval) {
        return;
    }
    if (elapsed_boot_time - elapsed >= max_update_interval) {
        // Which daemons were heard recently is unknown as well.
        m_shares.configure(
            m_limits, [](std::string_view /*customer*/) { return 0.0; }, m_clock());
        m_updated_at_boot_time = m_boot_clock();
        return;
    }
    request_update();
}

std::vector<net::udp::endpoint> rate_limiter::other_holders(std::string_view customer) {
    std::vector<net::udp::endpoint> out;
    for (const std::string& host : m_holders.holders_of(customer)) {
        if (const auto found = m_endpoints.find(host); found != m_endpoints.end()) {
            out.push_back(found->second);
        }
    }
    return out;
}

void rate_limiter::lend(const token_request& request, const net::udp::endpoint& to) {
    const std::string transfer = m_exchange.lend(request);
    if (!transfer.empty()) {
        m_send(transfer, to);
    }
}

bool rate_limiter::receive(std::uint8_t kind, std::string_view body,
                           const net::udp::endpoint& from) {
    check_interruption();
    switch (kind) {
    case token_request::kind:
        return decode_and<token_request>(body, [&](const auto& each) { lend(each, from); });
    case token_transfer::kind:
        return decode_and<token_transfer>(body,
                                          [&](const auto& each) { m_exchange.receive(each); });
    case token_acquire::kind:
        return decode_and<token_acquire>(body,
                                         [&](const auto& each) { m_server.receive(each, from); });
    case token_verdict::kind:
        return decode_and<token_verdict>(body, [&](const auto& each) { m_client.receive(each); });
    case token_cancel::kind:
        return decode_and<token_cancel>(body,
                                        [&](const auto& each) { m_server.receive(each, from); });
    default:
        return false;
    }
}

} // namespace eelgrassdoor::fleet
