/// \file
/// Defines a host's view of the slot holders and the choice of which to ask for a token. Performs
/// no I/O.
#pragma once

#include "base/clock.hpp"
#include "limits/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::limits {

/// One slot and the daemon that holds it.
struct holder {
    std::string host;
    std::uint16_t slot = 0;
    /// `address:port` of the daemon's peer socket.
    std::string endpoint;
    /// Whether the holder is in this daemon's availability zone.
    bool same_zone = false;

    bool operator==(const holder&) const = default;
    /// Identifies the slot within a view.
    [[nodiscard]] std::string key() const { return host + "#" + std::to_string(slot); }
};

/// A request for a fraction of a token from one holder.
struct fraction_request {
    holder lender;
    /// In tokens.
    double want = 0;
};

/// How to acquire one token.
struct acquire_plan {
    /// The holder to ask for a whole token; empty when no holder is known or none responds.
    std::optional<holder> preferred_holder;
    /// Whether to request fractions from all holders instead of a whole token from one. This drains
    /// the buckets evenly, so that none stays full and loses its fill.
    bool use_fractions = false;
    /// Whether the estimated balances of all responding holders sum to a whole token.
    bool token_possible = true;
    /// The shortest time until they do; 60 s when no responding holder has a bucket that fills.
    duration time_to_next_token{};
};

/// Estimates the balance of every holder's buckets from the last answers. An estimate is an upper
/// bound (the reported balance plus all fill since), so a refusal based on it alone misses at most
/// the tokens that were returned meanwhile. Not thread-safe.
class holder_view {
public:
    /// How long a holder that did not answer is not asked again.
    static constexpr duration unresponsive_retry_interval = seconds(1);

    /// Replaces the list of holders; estimates of holders that are no longer listed are dropped.
    void set_holders(std::vector<holder> holders);
    [[nodiscard]] const std::vector<holder>& holders() const { return m_holders; }

    /// Decides how to acquire one token. \p params are those of the customer's bucket in one slot.
    /// While the buckets hold less than 3/4 of the customer's burst in sum, and for 30 s after, the
    /// plan is to request fractions.
    acquire_plan plan(std::string_view customer, bucket_params params, time_point now);
    /// The fractions to request, which sum to \p need tokens, in proportion to the estimated
    /// balances; empty when the estimates sum to less.
    [[nodiscard]] std::vector<fraction_request> fraction_requests(std::string_view customer,
                                                                  bucket_params params, double need,
                                                                  time_point now) const;
    /// Records the \p balance that a holder reported, in tokens.
    void record_balance(const holder& lender, std::string_view customer, double balance,
                        time_point now);
    /// Excludes a holder that did not answer from plans and fraction requests, until it answers or
    /// unresponsive_retry_interval has passed.
    void mark_unresponsive(const holder& lender, time_point now);

private:
    /// A balance in tokens as reported by a holder.
    struct balance_sample {
        double balance = 0;
        time_point sampled_at;
    };

    /// An upper bound of the balance of the customer's bucket at \p lender, in tokens: the capacity
    /// when no balance was reported yet.
    [[nodiscard]] double estimate(const holder& lender, std::string_view customer,
                                  bucket_params params, time_point now) const;
    [[nodiscard]] bool is_unresponsive(const holder& lender, time_point now) const;

    std::vector<holder> m_holders;
    /// The last reported balances, by holder::key() and customer.
    std::map<std::string, std::map<std::string, balance_sample, std::less<>>, std::less<>>
        m_balances;
    /// By holder::key().
    std::map<std::string, time_point, std::less<>> m_unresponsive_until;
    /// Customers that are treated as near their limit, and until when.
    std::map<std::string, time_point, std::less<>> m_near_limit_until;
};

} // namespace eelgrassdoor::limits
