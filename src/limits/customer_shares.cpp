#include "limits/customer_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace eelgrassdoor::limits {

namespace {

/// The largest fraction of the balance that one loan may take. The rest covers the lender's own
/// next requests.
constexpr double max_lent_fraction = 0.75;
/// The largest number of tokens in one borrow request.
constexpr double max_borrow_amount = 4;
/// A daemon that ran out of tokens lends none for this time, so that two such daemons do not lend
/// the same tokens back and forth.
constexpr duration lending_pause = milliseconds(200);
/// For one customer, a daemon with waiting requests sends each other daemon at most one borrow
/// request in min_borrow_retry_interval, and at most 500 datagrams per second to all of them
/// together.
constexpr duration min_borrow_retry_interval = milliseconds(200);
constexpr duration borrow_retry_interval_per_daemon = milliseconds(2);
/// Decay time constant of the average rate of loans.
constexpr double loan_rate_decay_s = 1;

bucket_params share_params(const customer_limit& limit, std::size_t daemons) {
    const auto count = static_cast<double>(std::max<std::size_t>(daemons, 1));
    return {limit.rate_per_second / count, limit.burst / count};
}

} // namespace

void customer_shares::configure(const customer_limits& limits, std::size_t daemons,
                                time_point now) {
    std::erase_if(m_shares, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [customer, limit] : limits) {
        const bucket_params wanted = share_params(limit, daemons);
        const auto known = m_shares.find(customer);
        if (known != m_shares.end()) {
            known->second.limit = limit;
            known->second.bucket.set_params(wanted, now);
            continue;
        }
        // A customer added while the daemon runs is new to the whole fleet, so that no daemon has
        // used its tokens.
        const bool full = m_starts_full || m_configured;
        m_shares.emplace(
            customer,
            share{.limit = limit, .bucket = token_bucket(wanted, full ? wanted.capacity : 0, now)});
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
    own.recent_demand += 1;
    own.expire_loans(now);
    if (own.bucket.take(1, true, now) > 0) {
        return true;
    }
    const double balance = own.bucket.balance(now);
    if (own.borrowed_tokens() + balance < 1) {
        own.no_lending_until = now + lending_pause;
        return false;
    }
    own.bucket.take(balance, false, now);
    own.spend_borrowed(1 - balance);
    return true;
}

void customer_shares::share::expire_loans(time_point now) {
    while (!borrowed.empty() && borrowed.front().expires <= now) {
        bucket.add(borrowed.front().amount, now);
        borrowed.pop_front();
    }
}

double customer_shares::share::borrowed_tokens() const {
    double sum = 0;
    for (const loan& each : borrowed) {
        sum += each.amount;
    }
    return sum;
}

void customer_shares::share::spend_borrowed(double amount) {
    while (amount > 0 && !borrowed.empty()) {
        loan& oldest = borrowed.front();
        const double used = std::min(amount, oldest.amount);
        oldest.amount -= used;
        amount -= used;
        if (oldest.amount <= 0) {
            borrowed.pop_front();
        }
    }
}

bool customer_shares::try_begin_borrow(std::string_view customer, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end() || now - found->second.last_borrow_at < min_borrow_interval) {
        return false;
    }
    found->second.last_borrow_at = now;
    return true;
}

duration customer_shares::borrow_retry_interval() const {
    return std::max<duration>(min_borrow_retry_interval,
                              m_daemons * borrow_retry_interval_per_daemon);
}

double customer_shares::borrow_amount(std::string_view customer) const {
    const auto found = m_shares.find(customer);
    return found == m_shares.end()
               ? 0
               : std::clamp(found->second.recent_demand, 1.0, max_borrow_amount);
}

double customer_shares::lend(std::string_view customer, double want, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end() || now < found->second.no_lending_until) {
        return 0;
    }
    found->second.expire_loans(now);
    token_bucket& bucket = found->second.bucket;
    const double lendable = bucket.balance(now) * max_lent_fraction;
    return bucket.take(std::min(want, lendable), false, now);
}

void customer_shares::receive(std::string_view customer, double amount, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return;
    }
    share& own = found->second;
    own.borrowed.push_back({amount, now + loan_ttl});
    own.recent_demand = 0;
    own.loan_rate = own.loan_rate_now(now) + amount / loan_rate_decay_s;
    own.loan_rate_at = now;
}

double customer_shares::share::loan_rate_now(time_point now) const {
    return loan_rate * std::exp(-to_seconds(now - loan_rate_at) / loan_rate_decay_s);
}

double customer_shares::seconds_per_token(const share& own, time_point now) const {
    const double daemons = static_cast<double>(std::max<std::size_t>(m_daemons, 1));
    const double rate = own.limit.rate_per_second / daemons + own.loan_rate_now(now);
    return rate > 0 ? 1 / rate : no_refill_wait_s;
}

duration customer_shares::predict_wait(std::string_view customer, std::size_t ahead,
                                       time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return duration::zero();
    }
    share& own = found->second;
    own.expire_loans(now);
    const double missing =
        static_cast<double>(ahead + 1) - own.borrowed_tokens() - own.bucket.balance(now);
    return from_seconds(std::max(0.0, missing) * seconds_per_token(own, now));
}

duration customer_shares::reserve_retry_after(std::string_view customer, duration predicted,
                                              time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return predicted;
    }
    share& own = found->second;
    const time_point next = own.last_retry_at + from_seconds(seconds_per_token(own, now));
    own.last_retry_at = std::max(now + predicted, next);
    return own.last_retry_at - now;
}

duration customer_shares::time_to_next_token(std::string_view customer, time_point now) {
    const auto found = m_shares.find(customer);
    if (found == m_shares.end()) {
        return duration::zero();
    }
    return from_seconds(found->second.bucket.seconds_to_next_token(now));
}

} // namespace eelgrassdoor::limits
