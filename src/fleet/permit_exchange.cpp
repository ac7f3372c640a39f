#include "fleet/permit_exchange.hpp"

#include "base/digest.hpp"
#include "net/endpoint.hpp"

namespace eelgrassdoor::fleet {

namespace {

/// Time that an issuer has to answer: several round trips, and short enough that other targets can
/// be tried within half of the shortest latency objective.
constexpr duration answer_timeout = milliseconds(45);
/// How long a target is not picked after its issuer has not answered.
constexpr duration silent_issuer_pause = milliseconds(250);
/// Twice the interval at which the issuers are determined; after a longer one this process, or its
/// host, did not run, and others may have issued permits meanwhile.
constexpr duration max_update_interval = milliseconds(500);

} // namespace

void permit_exchange::update(const member_map& members, const is_heard_fn& is_heard) {
    if (m_boot_clock() - m_updated_at > max_update_interval) {
        m_issuer.reset(m_clock());
    }
    m_updated_at = m_boot_clock();
    std::vector<routing::issuing_daemon> daemons;
    m_endpoints.clear();
    for (const auto& [host, each] : members) {
        const result<net::tcp::endpoint> endpoint = net::parse_endpoint(each.endpoint);
        if (host == m_self.host || !each.issues_permits || !endpoint) {
            continue;
        }
        daemons.push_back({host, each.availability_zone, is_heard(host)});
        m_endpoints[host] = {endpoint.value().address(), endpoint.value().port()};
    }
    daemons.push_back({m_self.host, m_self.availability_zone, true});
    m_issuer.set_daemons(std::move(daemons), m_self.host, m_clock());
}

net::task<bool> permit_exchange::acquire(routing::fleet_target target, routing::work_kind kind) {
    const routing::target_instance instance{stable_hash(target.id), target.started_at};
    const std::optional<double> limit = m_loads.request_limits().limit_of(instance);
    if (!limit) {
        co_return true;
    }
    const routing::limited_target limited{target.id, target.availability_zone, *limit};
    const std::string issuer(m_issuer.issuer_of(limited));
    const auto endpoint = m_endpoints.find(issuer);
    routing::permit_issuer::verdict verdict{.wait = silent_issuer_pause};
    if (issuer == m_self.host) {
        verdict = take(limited, kind);
    } else if (endpoint != m_endpoints.end()) {
        permit_request request{.number = ++m_last_number,
                               .target = target.id,
                               .requests_per_second = *limit,
                               .work = static_cast<std::uint8_t>(kind)};
        const net::udp::endpoint to = endpoint->second;
        const std::optional<permit_verdict> answer = co_await ask(std::move(request), to);
        if (answer) {
            verdict = {.granted = answer->granted, .wait = milliseconds(answer->wait_ms)};
        }
    }
    if (!verdict.granted) {
        m_loads.request_limits().record_denied(instance, kind, m_clock() + verdict.wait);
    }
    co_return verdict.granted;
}

net::task<std::optional<permit_verdict>> permit_exchange::ask(permit_request request,
                                                              net::udp::endpoint endpoint) {
    const std::uint64_t number = request.number;
    const auto pending =
        m_pending.emplace(number, pending_request{net::notification(m_executor), std::nullopt})
            .first;
    m_send(to_datagram(request), endpoint);
    const time_point answer_by = m_clock() + answer_timeout;
    co_await pending->second.wake.wait_until(answer_by);
    const std::optional<permit_verdict> verdict = pending->second.verdict;
    m_pending.erase(pending);
    co_return verdict;
}

routing::permit_issuer::verdict permit_exchange::take(const routing::limited_target& target,
                                                      routing::work_kind kind) {
    if (m_boot_clock() - m_updated_at > max_update_interval) {
        return {.wait = silent_issuer_pause};
    }
    return m_issuer.take(target, kind, m_clock());
}

void permit_exchange::issue(const permit_request& request, const net::udp::endpoint& to) {
    const routing::fleet_target* target = m_loads.find(request.target);
    routing::permit_issuer::verdict verdict{.wait = silent_issuer_pause};
    if (target != nullptr) {
        const routing::target_instance instance{stable_hash(target->id), target->started_at};
        // This daemon may not have heard of the limit yet.
        const double limit =
            m_loads.request_limits().limit_of(instance).value_or(request.requests_per_second);
        const auto kind = request.work == static_cast<std::uint8_t>(routing::work_kind::online)
                              ? routing::work_kind::online
                              : routing::work_kind::batch;
        verdict = take({target->id, target->availability_zone, limit}, kind);
    }
    m_send(to_datagram(permit_verdict{.number = request.number,
                                      .granted = verdict.granted,
                                      .wait_ms = static_cast<std::uint32_t>(to_ms(verdict.wait))}),
           to);
}

bool permit_exchange::receive(std::uint8_t kind, std::string_view body,
                              const net::udp::endpoint& from) {
    if (kind == permit_request::kind) {
        const auto request = peer::decode<permit_request>(body);
        if (request) {
            issue(*request, from);
        }
        return request.has_value();
    }
    if (kind != permit_verdict::kind) {
        return false;
    }
    const auto verdict = peer::decode<permit_verdict>(body);
    if (!verdict) {
        return false;
    }
    if (const auto found = m_pending.find(verdict->number); found != m_pending.end()) {
        found->second.verdict = *verdict;
        found->second.wake.notify();
    }
    return true;
}

} // namespace eelgrassdoor::fleet
