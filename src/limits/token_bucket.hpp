/// \file
/// Defines a token bucket that holds one slot's or daemon's share of a customer's rate.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>

namespace eelgrassdoor::limits {

/// The fill rate and capacity of one bucket. Over all buckets of a customer they sum to its rate
/// and burst.
struct bucket_params {
    /// In tokens per second.
    double rate_per_second = 0;
    /// In tokens.
    double capacity = 0;

    bool operator==(const bucket_params&) const = default;
};

/// The time to the next token that is reported for a bucket with a fill rate of 0.
inline constexpr double no_refill_wait_s = 3600;

/// One of several token buckets that share a customer's rate. A loan is deducted from the balance
/// before the grant is sent, and capacity is reserved for it until it is returned or expires, so
/// that all buckets together never hold more than the burst. Times earlier than in a previous call
/// add no fill. Not thread-safe.
class token_bucket {
public:
    /// Starts with \p balance tokens, but at most the capacity, and fills from \p now on.
    token_bucket(bucket_params params, double balance, time_point now);

    /// Changes rate and capacity; tokens over the new capacity are discarded.
    void set_params(bucket_params params, time_point now);

    /// Takes up to \p want tokens; with \p all_or_nothing, \p want or none. Returns the number
    /// taken.
    double take(double want, bool all_or_nothing, time_point now);

    /// Adds tokens from another bucket; what exceeds the free capacity is discarded.
    void add(double amount, time_point now);

    /// Takes up to \p want tokens as a loan that can be returned until \p expires, and returns the
    /// number taken. Loans must be made in the order of their expiry.
    double lend(std::uint64_t grant_id, double want, time_point now, time_point expires);

    /// Takes back \p amount tokens of a loan, at most as many as were lent; the others are spent.
    /// Each loan is settled once: a second return, or one after the expiry, changes nothing.
    void return_loan(std::uint64_t grant_id, double amount, time_point now);

    /// The tokens in the bucket at \p now, without those lent.
    double balance(time_point now);
    /// Seconds until the balance is one token: 0 when it is already, no_refill_wait_s when the
    /// bucket does not fill.
    double seconds_to_next_token(time_point now);

private:
    struct loan {
        std::uint64_t grant_id;
        double amount;
        time_point expires;
    };

    /// Drops expired loans and adds the fill since the last call.
    void refill(time_point now);

    bucket_params m_params;
    double m_balance;
    time_point m_filled_at;
    std::deque<loan> m_loans;
    /// The sum of m_loans, for which capacity is reserved.
    double m_lent = 0;
};

} // namespace eelgrassdoor::limits
