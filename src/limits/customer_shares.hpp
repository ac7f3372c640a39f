/// \file
/// Defines one daemon's share of every customer's rate and the loans of tokens between daemons.
/// Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/slot_buckets.hpp"
#include "limits/token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::limits {

/// The token buckets of one daemon, one for each customer, with an equal share of the customer's
/// rate and burst. A daemon that runs out of tokens borrows from the others, which lend what they
/// have and do not need themselves. A loan that is not spent within loan_ttl moves to the
/// borrower's own bucket, and tokens above its capacity are discarded. All daemons together
/// therefore hold at most the burst and what the rate fills in loan_ttl: any time span t admits at
/// most rate * (t + loan_ttl) + burst, without synchronized clocks and also during a network
/// partition. Not thread-safe.
class customer_shares {
public:
    /// The minimum interval between two requests of a daemon to borrow one customer's tokens: twice
    /// the round trip between the most distant zones, with a margin for a busy host.
    static constexpr duration min_borrow_interval = milliseconds(50);
    /// How long a loan is held in addition to the daemon's own bucket. Loans admit up to 0.3 s of
    /// the rate beyond rate and burst. Limits are measured over 5 s with a tolerance of a tenth,
    /// which is 0.5 s of the rate or more.
    static constexpr duration loan_ttl = milliseconds(300);

    /// \p starts_full: whether buckets start full, which is right only when no daemon has used the
    /// tokens before, as at the first start of the fleet. Otherwise they start empty, because an
    /// earlier run may have spent the tokens.
    explicit customer_shares(bool starts_full) : m_starts_full(starts_full) {}

    /// Applies the customers' limits for a fleet of \p daemons daemons that serve callers. Drops
    /// customers that \p limits does not contain; customers added after the first call start full.
    void configure(const customer_limits& limits, std::size_t daemons, time_point now);

    /// Takes one token from this daemon's bucket or from loans. Returns false when together they
    /// hold less than one. Always true for customers that are unknown or have a rate of 0.
    bool try_take(std::string_view customer, time_point now);
    /// Returns whether the caller may send a borrow request: whether min_borrow_interval has passed
    /// since the customer's last one. If so, records a new one at \p now. False for an unknown
    /// customer.
    bool try_begin_borrow(std::string_view customer, time_point now);
    /// The interval at which a waiting request repeats its borrow request. It grows with the fleet,
    /// because each borrow request is sent to all daemons.
    [[nodiscard]] duration borrow_retry_interval() const;
    /// The number of tokens to request from each other daemon: the demand since the last loan, at
    /// least one and at most four; 0 for an unknown customer.
    [[nodiscard]] double borrow_amount(std::string_view customer) const;
    /// Takes up to \p want tokens, at most three quarters of the bucket, to lend them to another
    /// daemon. Returns the number taken: 0 for 200 ms after try_take() has returned false, since
    /// this daemon's own callers need the tokens.
    double lend(std::string_view customer, double want, time_point now);
    /// Adds \p amount tokens that another daemon has lent. Ignored for an unknown customer.
    void receive(std::string_view customer, double amount, time_point now);
    /// The time until this daemon's own bucket has a whole token, without loans; zero for an
    /// unknown customer.
    duration time_to_next_token(std::string_view customer, time_point now);
    /// Predicts how long a request waits for a token with \p ahead requests queued before it, from
    /// this daemon's fill rate and the recent rate of loans; zero for an unknown customer.
    duration predict_wait(std::string_view customer, std::size_t ahead, time_point now);
    /// Returns after what time from \p now a rejected caller with a \p predicted wait retries: at
    /// least that wait. Retry times of successive callers are spaced by the time in which one token
    /// arrives, so that they do not retry all at once.
    duration reserve_retry_after(std::string_view customer, duration predicted, time_point now);

private:
    /// Tokens borrowed from another daemon.
    struct loan {
        double amount = 0;
        time_point expires{};
    };
    /// One customer's tokens at this daemon.
    struct share {
        customer_limit limit;
        token_bucket bucket;
        /// Unspent loans, the oldest first.
        std::deque<loan> borrowed;
        /// Time of the last borrow request.
        time_point last_borrow_at{};
        /// Number of try_take() calls since the last loan was received.
        double recent_demand = 0;
        /// Until then the bucket lends nothing, because this daemon ran out of tokens.
        time_point no_lending_until{};
        /// Decaying average of tokens per second received in loans, as of loan_rate_at.
        double loan_rate = 0;
        time_point loan_rate_at{};
        /// The latest retry time that was assigned to a rejected caller.
        time_point last_retry_at{};

        /// Moves expired loans to `bucket`; what exceeds its capacity is discarded.
        void expire_loans(time_point now);
        /// The sum of the unspent loans.
        [[nodiscard]] double borrowed_tokens() const;
        /// Takes \p amount from the oldest loans first.
        void spend_borrowed(double amount);
        /// The rate of loans in tokens per second, decayed from loan_rate_at to \p now.
        [[nodiscard]] double loan_rate_now(time_point now) const;
    };
    /// Seconds in which one more token arrives, by fill and by loans; no_refill_wait_s when none
    /// does.
    [[nodiscard]] double seconds_per_token(const share& own, time_point now) const;

    const bool m_starts_full;
    /// Whether configure() was called before.
    bool m_configured = false;
    std::size_t m_daemons = 0;
    std::map<std::string, share, std::less<>> m_shares;
};

} // namespace eelgrassdoor::limits
