/// \file
/// Defines the customers' tokens that one daemon holds and the loans of tokens between holders.
/// Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/slot_buckets.hpp"
#include "limits/token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::limits {

/// The token buckets of one daemon, one for each customer whose tokens it holds; see token_holders.
/// The shares of a customer's holders add up to its rate and burst. A holder that runs out of
/// tokens borrows from the others, which lend what they have and do not need themselves. A lender
/// keeps room for a loan in its bucket until the borrower can no longer spend it, and a loan that
/// is not spent in time moves to the borrower's own bucket, where tokens above the capacity are
/// discarded. The holders together therefore never have more than the burst: any time span t admits
/// at most rate * t + burst, without synchronized clocks and also during a network partition.
///
/// Daemons learn at different times that a holder is gone or back. A share therefore shrinks at
/// once and grows only after growth_delay, by when the daemon that had it before has given it up. A
/// bucket that is new starts empty, since a previous holder may have spent its tokens. Not
/// thread-safe.
class customer_shares {
public:
    /// The minimum interval between two requests of a daemon to borrow one customer's tokens: twice
    /// the round trip between the most distant zones, with a margin for a busy host.
    static constexpr duration min_borrow_interval = milliseconds(50);
    /// How long after its request a borrower may spend a loan, and how long the lender keeps room
    /// for it: several round trips between the most distant zones, with the time in which a busy
    /// host does not run.
    static constexpr duration loan_ttl = milliseconds(150);
    /// How long after a share was assigned it takes effect: the longest difference between the
    /// times at which two daemons find that they no longer hear each other. Digests are sent every
    /// 500 ms, and the holders are determined every 250 ms.
    static constexpr duration growth_delay = milliseconds(750);

    /// The part of a customer's rate that this daemon has, in the range 0 to 1; 0 when it does not
    /// hold tokens of the customer.
    using share_fn = std::function<double(std::string_view customer)>;

    /// \p starts_full: whether buckets start full, which is right only when no daemon has used the
    /// tokens before, as at the first start of the fleet. Otherwise they start empty, because an
    /// earlier run may have spent the tokens.
    explicit customer_shares(bool starts_full) : m_starts_full(starts_full) {}

    /// Applies the customers' limits before this daemon knows whose tokens it holds: until
    /// configure(), no request of these customers gets a token here.
    void set_limits(const customer_limits& limits);
    /// Applies the customers' limits and this daemon's shares of them. Drops the tokens of
    /// customers that this daemon no longer holds, and customers that \p limits does not contain.
    /// Customers added after the first call start full. Call it a few times a second, since larger
    /// shares take effect in a call after growth_delay.
    void configure(const customer_limits& limits, const share_fn& share_of, time_point now);
    /// Applies the limits at one of \p holders daemons that hold tokens of every customer.
    void configure(const customer_limits& limits, std::size_t holders, time_point now);
    /// Whether requests of \p customer need a token: false for customers that are unknown or have a
    /// rate of 0.
    [[nodiscard]] bool is_limited(std::string_view customer) const;
    /// Whether this daemon holds tokens of \p customer.
    [[nodiscard]] bool holds(std::string_view customer) const;

    /// Takes one token from this daemon's bucket or from loans. Returns false when together they
    /// hold less than one, or when this daemon does not hold the customer's tokens. Always true for
    /// customers that need no token.
    bool try_take(std::string_view customer, time_point now);
    /// Returns whether the caller may send a borrow request: whether min_borrow_interval has passed
    /// since the customer's last one. If so, records a new one at \p now. False for an unknown
    /// customer.
    bool try_begin_borrow(std::string_view customer, time_point now);
    /// The interval at which a waiting request repeats its borrow request.
    static constexpr duration borrow_retry_interval = milliseconds(200);
    /// The number of tokens to request from each other daemon: the demand since the last loan, at
    /// least one and at most four; 0 for an unknown customer.
    [[nodiscard]] double borrow_amount(std::string_view customer) const;
    /// Takes up to \p want tokens, at most three quarters of the bucket, to lend them to another
    /// holder. Returns the number taken: 0 for 200 ms after try_take() has returned false, since
    /// this daemon's own callers need the tokens.
    double lend(std::string_view customer, double want, time_point now);
    /// Adds \p amount tokens that another holder has lent after the last try_begin_borrow().
    /// Ignored unless this daemon holds the customer's tokens.
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
    struct customer_state {
        customer_limit limit;
        /// This daemon's part of the rate in force, in the range 0 to 1.
        double share = 0;
        /// A larger share that was assigned, and since when; 0 for none.
        double assigned_share = 0;
        time_point assigned_at{};
        /// Whether configure() has included this customer.
        bool configured = false;
        /// Nothing when this daemon does not hold the customer's tokens.
        std::optional<token_bucket> bucket;
        /// Number of the last loan made.
        std::uint64_t last_loan = 0;
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

        /// Puts \p wanted in force at once if it is smaller, and after growth_delay if it is
        /// larger.
        void update_share(double wanted, time_point now);
        /// Moves expired loans to `bucket`; what exceeds its capacity is discarded.
        void expire_loans(time_point now);
        /// The sum of the unspent loans.
        [[nodiscard]] double borrowed_tokens() const;
        /// Takes \p amount from the oldest loans first.
        void spend_borrowed(double amount);
        /// The rate of loans in tokens per second, decayed from loan_rate_at to \p now.
        [[nodiscard]] double loan_rate_now(time_point now) const;
    };
    /// The state of \p customer if this daemon holds its tokens, otherwise null.
    [[nodiscard]] customer_state* find_held(std::string_view customer);
    /// Seconds in which one more token arrives, by fill and by loans; no_refill_wait_s when none
    /// does.
    [[nodiscard]] static double seconds_per_token(const customer_state& own, time_point now);

    const bool m_starts_full;
    /// Whether configure() was called before.
    bool m_configured = false;
    std::map<std::string, customer_state, std::less<>> m_customers;
};

} // namespace eelgrassdoor::limits
