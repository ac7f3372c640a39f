/// \file
/// Defines one daemon's share of every customer's rate, and how daemons lend each other tokens.
/// Pure: no I/O.
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

/// Each daemon that serves callers fills an equal share of each customer's bucket. A daemon whose
/// callers need more asks the others, which lend what they have and do not need now. A loan that is
/// not used lapses soon, and what the borrower's own share has no room for vanishes. So all shares
/// together hold at most the burst and what the rate fills in loan_life: any span of time t admits
/// at most rate * (t + loan_life) + burst, without any agreement on time and also while daemons are
/// cut off from each other.
class customer_shares {
public:
    /// A daemon asks the others for one customer's tokens at most this often. Twice the round trip
    /// between the most distant zones with a margin for a busy host.
    static constexpr duration ask_interval = milliseconds(50);
    /// How long a loan counts beside the own share. In the five seconds over which the users count,
    /// loans admit 0.3 s of the rate beyond rate and burst; the users allow a tenth, 0.5 s of the
    /// rate and more.
    static constexpr duration loan_life = milliseconds(300);

    /// \p begins_full: whether no daemon has used the tokens before, as at the first start of the
    /// fleet. Otherwise shares begin empty, because an earlier start may have used them.
    explicit customer_shares(bool begins_full) : m_begins_full(begins_full) {}

    /// Takes in the limits and the number of daemons that serve callers.
    void configure(const customer_limits& limits, std::size_t daemons, time_point now);

    /// Takes one token; true also for customers without a limit.
    bool try_take(std::string_view customer, time_point now);
    /// Whether the others may be asked now; notes that they are.
    bool may_ask(std::string_view customer, time_point now);
    /// The pause between two asks of a request that goes on waiting. It grows with the fleet, as
    /// each ask goes to all daemons.
    [[nodiscard]] duration ask_pause() const;
    /// How many tokens to ask each other daemon for: what this daemon needed lately, at least one.
    [[nodiscard]] double tokens_to_ask(std::string_view customer) const;
    /// Lends tokens to another daemon; returns how many.
    double lend(std::string_view customer, double want, time_point now);
    /// Takes in what another daemon lent.
    void receive(std::string_view customer, double amount, time_point now);
    /// When this daemon's own share has a token again.
    duration until_next(std::string_view customer, time_point now);
    /// When this daemon is likely to have a token for a request with \p ahead others before it: by
    /// the own share and by what the others have lent lately.
    duration predict(std::string_view customer, std::size_t ahead, time_point now);
    /// When a caller that is sent away is to come back, if it would have to wait for \p predicted:
    /// callers are told different times, as far apart as tokens come in.
    duration promise_return(std::string_view customer, duration predicted, time_point now);

private:
    /// Tokens that another daemon has lent.
    struct loan {
        double amount = 0;
        time_point expires{};
    };
    struct share {
        customer_limit limit;
        token_part part;
        /// Tokens from other daemons, the oldest first.
        std::deque<loan> received;
        time_point asked_at{};
        /// Requests since the others were asked last.
        double recent_need = 0;
        /// Until when the own need goes before that of others.
        time_point needed_until{};
        /// Tokens a second that the others lend, as of loans_at.
        double loan_rate = 0;
        time_point loans_at{};
        /// The last time that a caller was told to come back.
        time_point last_return{};

        /// Puts loans that lapse into the own share, as far as it has room.
        void settle_loans(time_point now);
        [[nodiscard]] double lent() const;
        void use_lent(double amount);
        /// The rate of loans at \p now, fading when none come.
        [[nodiscard]] double loans(time_point now) const;
    };
    /// Seconds in which one more token comes in.
    [[nodiscard]] double seconds_per_token(const share& own, time_point now) const;

    const bool m_begins_full;
    bool m_configured = false;
    std::size_t m_daemons = 0;
    std::map<std::string, share, std::less<>> m_shares;
};

} // namespace eelgrassdoor::limits
