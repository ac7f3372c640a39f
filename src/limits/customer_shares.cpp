#include "limits/customer_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
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
/// Absorbs the rounding of sums of fractions of a token.
constexpr double balance_tolerance = 1e-9;
/// Decay time constant of the average rate of loans.
constexpr double loan_rate_decay_s = 1;

} // namespace

void customer_shares::configure(const customer_limits& limits, std::size_t holders,
                                time_point now) {
    const double share = 1 / static_cast<double>(std::max<std::size_t>(holders, 1));
    configure(
        limits, [share](std::string_view /*customer*/) { return share; }, now);
}

void customer_shares::set_limits(const customer_limits& limits) {
    std::erase_if(m_customers, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [customer, limit] : limits) {
        m_customers[customer].limit = limit;
    }
}

void customer_shares::customer_state::update_share(double wanted, time_point now) {
    if (wanted <= share) {
        share = wanted;
        assigned_share = 0;
    } else if (assigned_share <= 0) {
        assigned_share = wanted;
        assigned_at = now;
    } else if (now - assigned_at >= growth_delay) {
        // The smaller of the two has been assigned all the time.
        share = std::min(assigned_share, wanted);
        assigned_share = 0;
    } else {
        assigned_share = std::min(assigned_share, wanted);
    }
}

void customer_shares::configure(const customer_limits& limits, const share_fn& share_of,
                                time_point now) {
    set_limits(limits);
    for (auto& [customer, own] : m_customers) {
        const bool is_new = !std::exchange(own.configured, true);
        // No daemon has used tokens of a customer that is new to the whole fleet.
        const bool starts_full = is_new && (m_starts_full || m_configured);
        if (is_new) {
            own.share = share_of(customer);
        } else {
            own.update_share(share_of(customer), now);
        }
        const bucket_params wanted{own.share * own.limit.rate_per_second,
                                   own.share * own.limit.burst};
        if (own.share <= 0) {
            own.bucket.reset();
            own.borrowed.clear();
        } else if (own.bucket) {
            own.bucket->set_params(wanted, now);
        } else {
            const bool may_overlap = is_new && !starts_full;
            own.bucket.emplace(wanted, starts_full ? wanted.capacity : 0,
                               may_overlap ? now + growth_delay : now);
        }
    }
    m_configured = true;
}

customer_shares::customer_state* customer_shares::find_held(std::string_view customer) {
    const auto found = m_customers.find(customer);
    return found == m_customers.end() || !found->second.bucket ? nullptr : &found->second;
}

bool customer_shares::is_limited(std::string_view customer) const {
    const auto found = m_customers.find(customer);
    return found != m_customers.end() && found->second.limit.rate_per_second > 0;
}

bool customer_shares::holds(std::string_view customer) const {
    const auto found = m_customers.find(customer);
    return found != m_customers.end() && found->second.bucket.has_value();
}

bool customer_shares::try_take(std::string_view customer, time_point now) {
    if (!is_limited(customer)) {
        return true;
    }
    customer_state* own = find_held(customer);
    if (own == nullptr) {
        return false;
    }
    own->recent_demand += 1;
    own->expire_loans(now);
    if (own->bucket->take(1, true, now) > 0) {
        return true;
    }
    const double balance = own->bucket->balance(now);
    if (own->borrowed_tokens() + balance + balance_tolerance < 1) {
        own->no_lending_until = now + lending_pause;
        return false;
    }
    own->bucket->take(balance, false, now);
    own->spend_borrowed(1 - balance);
    return true;
}

void customer_shares::customer_state::expire_loans(time_point now) {
    while (!borrowed.empty() && borrowed.front().expires <= now) {
        bucket->add(borrowed.front().amount, now);
        borrowed.pop_front();
    }
}

double customer_shares::customer_state::borrowed_tokens() const {
    double sum = 0;
    for (const loan& each : borrowed) {
        sum += each.amount;
    }
    return sum;
}

void customer_shares::customer_state::spend_borrowed(double amount) {
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
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || now - found->second.last_borrow_at < min_borrow_interval) {
        return false;
    }
    found->second.last_borrow_at = now;
    return true;
}

double customer_shares::borrow_amount(std::string_view customer) const {
    const auto found = m_customers.find(customer);
    return found == m_customers.end()
               ? 0
               : std::clamp(found->second.recent_demand, 1.0, max_borrow_amount);
}

double customer_shares::lend(std::string_view customer, double want, time_point now) {
    customer_state* own = find_held(customer);
    if (own == nullptr || now < own->no_lending_until) {
        return 0;
    }
    own->expire_loans(now);
    const double lendable = own->bucket->balance(now) * max_lent_fraction;
    return own->bucket->lend(++own->last_loan, std::min(want, lendable), now, now + loan_ttl);
}

void customer_shares::receive(std::string_view customer, double amount, time_point now) {
    customer_state* own = find_held(customer);
    if (own == nullptr) {
        return;
    }
    // The lender keeps room for the loan at least until then, since it got the request later.
    own->borrowed.push_back({amount, own->last_borrow_at + loan_ttl});
    own->recent_demand = 0;
    own->loan_rate = own->loan_rate_now(now) + amount / loan_rate_decay_s;
    own->loan_rate_at = now;
}

double customer_shares::customer_state::loan_rate_now(time_point now) const {
    return loan_rate * std::exp(-to_seconds(now - loan_rate_at) / loan_rate_decay_s);
}

double customer_shares::seconds_per_token(const customer_state& own, time_point now) {
    const double rate = own.share * own.limit.rate_per_second + own.loan_rate_now(now);
    return rate > 0 ? 1 / rate : no_refill_wait_s;
}

duration customer_shares::predict_wait(std::string_view customer, std::size_t ahead,
                                       time_point now) {
    customer_state* own = find_held(customer);
    if (own == nullptr) {
        return duration::zero();
    }
    own->expire_loans(now);
    const double missing =
        static_cast<double>(ahead + 1) - own->borrowed_tokens() - own->bucket->balance(now);
    return from_seconds(std::max(0.0, missing) * seconds_per_token(*own, now));
}

duration customer_shares::reserve_retry_after(std::string_view customer, duration predicted,
                                              time_point now) {
    customer_state* own = find_held(customer);
    if (own == nullptr) {
        return predicted;
    }
    const time_point next = own->last_retry_at + from_seconds(seconds_per_token(*own, now));
    own->last_retry_at = std::max(now + predicted, next);
    return own->last_retry_at - now;
}

duration customer_shares::time_to_next_token(std::string_view customer, time_point now) {
    customer_state* own = find_held(customer);
    return own == nullptr ? duration::zero()
                          : from_seconds(own->bucket->seconds_to_next_token(now));
}

} // namespace eelgrassdoor::limits
