#include "limits/customer_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace eelgrassdoor::limits {

namespace {

/// The part of a share that is lent at once. What stays covers the lender's own next requests.
constexpr double lent_part = 0.75;
/// Needs of one daemon that are asked for at once, in tokens.
constexpr double most_needed = 4;
/// A daemon that ran out of its own tokens lends none for this time, so that two daemons in need
/// do not pass the same tokens to and fro.
constexpr duration need_time = milliseconds(200);
/// A daemon that waits for tokens sends each other daemon at most one ask in this time, and all
/// together not more than 500 datagrams a second.
constexpr duration shortest_ask_pause = milliseconds(200);
constexpr duration ask_pause_per_daemon = milliseconds(2);
/// Loans of about this time count for the prediction.
constexpr double loan_memory_s = 1;

bucket_params share_of(const customer_limit& limit, std::size_t daemons) {
    const auto count = static_cast<double>(std::max<std::size_t>(daemons, 1));
    return {limit.rate_per_second / count, limit.burst / count};
}

} // namespace

void customer_shares::configure(const customer_limits& limits, std::size_t daemons,
                                time_point now) {
    std::erase_if(m_shares, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [customer, limit] : limits) {
        const bucket_params wanted = share_of(limit, daemons);
        const auto known = m_shares.find(customer);
        if (known != m_shares.end()) {
            known->second.limit = limit;
            known->second.part.set_share(wanted, now);
            continue;
        }
        // A customer that is new to a running daemon is new to the fleet.
        const bool full = m_begins_full || m_configured;
        m_shares.emplace(
            customer,
            share{.limit = limit, .part = token_bucket(wanted, full ? wanted.capacity : 0, now)});
    }
    m_configured = true;
    m_daemons = daemons;
}

bool customer_shares::try_take(std::string_view customer, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end() || found->second.limit.rate_per_second <= 0) {
        return true;
    }
    share& own = found->second;
    own.recent_need += 1;
    own.settle_loans(now);
    if (own.part.take(1, true, now) > 0) {
        return true;
    }
    const double balance = own.part.balance(now);
    if (own.lent() + balance < 1) {
        own.needed_until = now + need_time;
        return false;
    }
    own.part.take(balance, false, now);
    own.use_lent(1 - balance);
    return true;
}

void customer_shares::share::settle_loans(time_point now) {
    while (!received.empty() && received.front().expires <= now) {
        part.add(received.front().amount, now);
        received.pop_front();
    }
}

double customer_shares::share::lent() const {
    double sum = 0;
    for (const loan& each : received) {
        sum += each.amount;
    }
    return sum;
}

void customer_shares::share::use_lent(double amount) {
    while (amount > 0 && !received.empty()) {
        loan& oldest = received.front();
        const double used = std::min(amount, oldest.amount);
        oldest.amount -= used;
        amount -= used;
        if (oldest.amount <= 0) {
            received.pop_front();
        }
    }
}

bool customer_shares::may_ask(std::string_view customer, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end() || now - found->second.asked_at < ask_interval) {
        return false;
    }
    found->second.asked_at = now;
    return true;
}

duration customer_shares::ask_pause() const {
    return std::max<duration>(shortest_ask_pause, m_daemons * ask_pause_per_daemon);
}

double customer_shares::tokens_to_ask(std::string_view customer) const {
    const auto found = m_shares.find(customer);
    return found == m_shares.end() ? 0 : std::clamp(found->second.recent_need, 1.0, most_needed);
}

double customer_shares::lend(std::string_view customer, double want, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end() || now < found->second.needed_until) {
        return 0;
    }
    found->second.settle_loans(now);
    token_bucket& part = found->second.part;
    const double most = part.balance(now) * lent_part;
    return part.take(std::min(want, most), false, now);
}

void customer_shares::receive(std::string_view customer, double amount, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return;
    }
    share& own = found->second;
    own.received.push_back({amount, now + loan_life});
    own.recent_need = 0;
    own.loan_rate = own.loans(now) + amount / loan_memory_s;
    own.loans_at = now;
}

double customer_shares::share::loans(time_point now) const {
    return loan_rate * std::exp(-to_seconds(now - loans_at) / loan_memory_s);
}

double customer_shares::seconds_per_token(const share& own, time_point now) const {
    const double daemons = static_cast<double>(std::max<std::size_t>(m_daemons, 1));
    const double rate = own.limit.rate_per_second / daemons + own.loans(now);
    return rate > 0 ? 1 / rate : far_future_s;
}

duration customer_shares::predict(std::string_view customer, std::size_t ahead, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return duration::zero();
    }
    share& own = found->second;
    own.settle_loans(now);
    const double missing = static_cast<double>(ahead + 1) - own.lent() - own.part.balance(now);
    return from_seconds(std::max(0.0, missing) * seconds_per_token(own, now));
}

duration customer_shares::promise_return(std::string_view customer, duration predicted,
                                         time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return predicted;
    }
    share& own = found->second;
    const time_point next = own.last_return + from_seconds(seconds_per_token(own, now));
    own.last_return = std::max(now + predicted, next);
    return own.last_return - now;
}

duration customer_shares::until_next(std::string_view customer, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return duration::zero();
    }
    return from_seconds(found->second.part.seconds_to_token(now));
}

} // namespace eelgrassdoor::limits
