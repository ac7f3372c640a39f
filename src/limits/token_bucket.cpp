#include "limits/token_bucket.hpp"

#include <algorithm>

namespace eelgrassdoor::limits {

namespace {

/// Absorbs the rounding of sums of fractions, so that eight eighths make a whole token.
constexpr double rounding = 1e-9;

} // namespace

token_part::token_part(part_share share, double balance, time_point now)
    : m_share(share), m_balance(std::min(balance, share.capacity)), m_filled_at(now) {}

void token_part::refill(time_point now) {
    while (!m_loans.empty() && m_loans.front().expires <= now) {
        m_lent -= m_loans.front().amount;
        m_loans.pop_front();
    }
    if (m_loans.empty()) {
        m_lent = 0;
    }
    if (now <= m_filled_at) {
        return;
    }
    const double room = std::max(0.0, m_share.capacity - m_lent - m_balance);
    m_balance += std::min(room, m_share.rate_per_second * to_seconds(now - m_filled_at));
    m_filled_at = now;
}

void token_part::set_share(part_share share, time_point now) {
    refill(now);
    m_share = share;
    m_balance = std::min(m_balance, share.capacity);
}

double token_part::take(double want, bool all_or_nothing, time_point now) {
    refill(now);
    if (m_balance + rounding >= want) {
        m_balance = std::max(0.0, m_balance - want);
        return want;
    }
    if (all_or_nothing) {
        return 0;
    }
    const double taken = m_balance;
    m_balance = 0;
    return taken;
}

void token_part::add(double amount, time_point now) {
    refill(now);
    const double room = std::max(0.0, m_share.capacity - m_lent - m_balance);
    m_balance += std::min(room, amount);
}

double token_part::lend(std::uint64_t grant_id, double want, time_point now, time_point expires) {
    const double taken = take(want, false, now);
    if (taken > 0) {
        m_loans.push_back({grant_id, taken, expires});
        m_lent += taken;
    }
    return taken;
}

void token_part::give_back(std::uint64_t grant_id, double amount, time_point now) {
    refill(now);
    const auto found = std::ranges::find(m_loans, grant_id, &loan::grant_id);
    if (found == m_loans.end()) {
        return;
    }
    m_lent -= found->amount;
    m_balance += std::clamp(amount, 0.0, found->amount);
    m_balance = std::min(m_balance, std::max(0.0, m_share.capacity - m_lent));
    m_loans.erase(found);
}

double token_part::balance(time_point now) {
    refill(now);
    return m_balance;
}

double token_part::seconds_to_token(time_point now) {
    refill(now);
    if (m_balance + rounding >= 1) {
        return 0;
    }
    return m_share.rate_per_second > 0 ? (1 - m_balance) / m_share.rate_per_second : far_future_s;
}

} // namespace eelgrassdoor::limits
