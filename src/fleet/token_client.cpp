#include "fleet/token_client.hpp"

#include <algorithm>

namespace eelgrassdoor::fleet {

namespace {

/// Time a holder has for its first answer before another one is asked: several round trips, and
/// short enough that two more can be asked within half of the shortest latency objective.
constexpr duration answer_timeout = milliseconds(45);
/// Interval at which a waiting request makes sure that its holder still runs.
constexpr duration queued_repeat_interval = milliseconds(250);
/// Interval at which a request that may wait looks for holders that answer.
constexpr duration search_interval = milliseconds(250);
/// Time until the remaining daemons have new holders with tokens: they find that the old ones are
/// silent within a second.
constexpr duration takeover_time = seconds(1) + limits::customer_shares::growth_delay;

std::uint32_t to_milliseconds(duration value) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_ms(value)));
}

/// Whether the sender of \p status holds the customer's tokens. Values of later builds do not
/// count.
bool is_from_holder(token_status status) {
    return status == token_status::granted || status == token_status::queued ||
           status == token_status::refused;
}

token_acquire make_acquire(std::uint64_t number, const std::string& customer,
                           const routing::waiting_request& request, duration waited) {
    return {.number = number,
            .customer = customer,
            .time_left_ms = to_milliseconds(request.time_left - waited),
            .elapsed_ms = to_milliseconds(request.elapsed + waited),
            .objective_ms = to_milliseconds(request.objective),
            .service_ms = to_milliseconds(request.service_time)};
}

} // namespace

bool token_client::try_take(std::string_view customer) {
    return !m_shares.is_limited(customer) || (is_primary(customer) && m_own.try_take(customer));
}

net::task<token_outcome> token_client::wait(std::string customer, routing::waiting_request request,
                                            std::shared_ptr<wait_cancellation> cancellation) {
    const time_point started_at = m_clock();
    const routing::waiting_request at_start = request;
    for (;;) {
        // A new primary has no tokens until its share has grown.
        if (!is_primary(customer) || !m_shares.holds(customer)) {
            const std::optional<token_outcome> outcome =
                co_await ask_holders(customer, request, cancellation);
            if (outcome) {
                co_return *outcome;
            }
        }
        const duration waited = m_clock() - started_at;
        request.time_left = at_start.time_left - waited;
        request.elapsed = at_start.elapsed + waited;
        if (m_shares.holds(customer)) {
            const token_outcome outcome = co_await m_own.wait(customer, request, cancellation);
            if (!outcome.not_held) {
                co_return outcome;
            }
            continue;
        }
        const duration predicted = std::max<duration>(takeover_time - waited, search_interval);
        const bool should_wait = routing::decide_wait(request, predicted).should_wait;
        if (!should_wait || cancellation->m_cancelled) {
            co_return token_outcome{.predicted = predicted, .retry_after = predicted};
        }
        co_await cancellation->m_wake.wait_until(m_clock() + search_interval);
    }
}

net::task<std::optional<token_outcome>>
token_client::ask_holders(std::string customer, routing::waiting_request request,
                          std::shared_ptr<wait_cancellation> cancellation) {
    const time_point started_at = m_clock();
    const std::uint64_t number = ++m_last_number;
    const std::vector<net::udp::endpoint> holders = holders_of(customer);
    pending_request& pending = m_pending[number];
    pending.cancellation = cancellation;
    std::optional<token_outcome> outcome;
    std::size_t asked = 0;
    bool is_decided = false;
    while (!is_decided && asked < holders.size() && !cancellation->m_cancelled) {
        pending.verdict.reset();
        const duration waited = m_clock() - started_at;
        m_send(to_datagram(make_acquire(number, customer, request, waited)), holders[asked]);
        const time_point answer_by = m_clock() + answer_timeout;
        while (!pending.verdict && !cancellation->m_cancelled && m_clock() < answer_by) {
            co_await cancellation->m_wake.wait_until(answer_by);
        }
        if (!pending.verdict || !is_from_holder(pending.verdict->status)) {
            ++asked;
            continue;
        }
        const time_point repeat_at = m_clock() + queued_repeat_interval;
        while (pending.verdict->status == token_status::queued && !cancellation->m_cancelled &&
               m_clock() < repeat_at) {
            co_await cancellation->m_wake.wait_until(repeat_at);
        }
        is_decided = pending.verdict->status == token_status::granted ||
                     pending.verdict->status == token_status::refused;
    }
    if (is_decided) {
        outcome = token_outcome{.taken = pending.verdict->status == token_status::granted,
                                .predicted = milliseconds(pending.verdict->predicted_ms),
                                .retry_after = milliseconds(pending.verdict->retry_after_ms)};
    }
    m_pending.erase(number);
    // Several holders may have queued the request; only one token is wanted.
    const std::size_t asked_holders = std::min(asked + 1, holders.size());
    if (!is_decided || asked_holders > 1) {
        for (std::size_t i = 0; i < asked_holders; ++i) {
            m_send(to_datagram(token_cancel{number}), holders[i]);
        }
    }
    co_return outcome;
}

void token_client::receive(const token_verdict& verdict) {
    const auto found = m_pending.find(verdict.number);
    if (found == m_pending.end()) {
        return;
    }
    found->second.verdict = verdict;
    found->second.cancellation->m_wake.notify();
}

} // namespace eelgrassdoor::fleet
