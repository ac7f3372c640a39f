/// \file
/// Defines one part of a customer's token bucket.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>

namespace eelgrassdoor::limits {

/// The fill rate and capacity of one part. The parts of a customer sum to its rate and burst.
struct part_share {
    double rate_per_second = 0;
    double capacity = 0;

    bool operator==(const part_share&) const = default;
};

/// Seconds to a token where no rate fills it.
inline constexpr double far_future_s = 3600;

/// A part of a token bucket. Tokens only move or vanish: what is lent leaves the balance before
/// the answer goes out, and room for it is kept while it may still come back, so that all parts
/// together never hold more than the burst.
class token_part {
public:
    token_part(part_share share, double balance, time_point now);

    /// Changes rate and capacity; tokens over the new capacity vanish.
    void set_share(part_share share, time_point now);

    /// Takes up to \p want tokens. With \p all_or_nothing, takes \p want or none.
    double take(double want, bool all_or_nothing, time_point now);

    /// Takes in tokens of another part, as far as there is room.
    void add(double amount, time_point now);

    /// Like take(), but part of what is taken may come back until \p expires.
    double lend(std::uint64_t grant_id, double want, time_point now, time_point expires);

    /// Takes back tokens of a loan. Each loan is settled once; a late return changes nothing.
    void give_back(std::uint64_t grant_id, double amount, time_point now);

    double balance(time_point now);
    /// Seconds until the balance is one token; zero when it is already.
    double seconds_to_token(time_point now);

private:
    struct loan {
        std::uint64_t grant_id;
        double amount;
        time_point expires;
    };

    void refill(time_point now);

    part_share m_share;
    double m_balance;
    time_point m_filled_at;
    std::deque<loan> m_loans;
    double m_lent = 0;
};

} // namespace eelgrassdoor::limits
