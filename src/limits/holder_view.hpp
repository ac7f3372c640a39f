/// \file
/// Defines what an entry host knows of the holders, and whom it asks for a token. Pure: no I/O.
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
    std::string endpoint;
    bool same_zone = false;

    bool operator==(const holder&) const = default;
    /// Names the slot among all that a view knows.
    [[nodiscard]] std::string key() const { return host + "#" + std::to_string(slot); }
};

/// A part to ask, and for how much.
struct ask_wish {
    holder who;
    double want = 0;
};

/// How to get a token.
struct ask_plan {
    /// The part to ask for a whole token; none when no holder is known or all are silent.
    std::optional<holder> first;
    /// Whether fractions from all parts are asked for in place of a whole token from one. Parts
    /// that are drained evenly all fill again; a part that stays full wastes its fill.
    bool spread = false;
    /// Whether all known parts together may have a token now.
    bool may_have_token = true;
    /// When they have one, at the soonest.
    duration next_token{};
};

/// Estimates the balance of every part from the last answers. An estimate is an upper bound
/// (what was left plus all fill since), so a refusal without a question is never wrong by more
/// than the tokens that were given back meanwhile.
class holder_view {
public:
    /// A holder that did not answer is not asked for this time.
    static constexpr duration silent_time = seconds(1);

    /// Takes in who holds slots now.
    void set_holders(std::vector<holder> holders);
    [[nodiscard]] const std::vector<holder>& holders() const { return m_holders; }

    /// Decides how to ask for one token. Notes that the customer is near its limit when its parts
    /// together have little left.
    ask_plan plan(std::string_view customer, part_share share, time_point now);
    /// The fractions to ask for so that they sum to \p need, in proportion to what the parts are
    /// believed to have; empty when they cannot have it.
    [[nodiscard]] std::vector<ask_wish> wishes(std::string_view customer, part_share share,
                                               double need, time_point now) const;
    /// Takes in an answer.
    void note_balance(const holder& who, std::string_view customer, double balance, time_point now);
    void note_silent(const holder& who, time_point now);

private:
    struct sighting {
        double balance = 0;
        time_point seen_at;
    };

    [[nodiscard]] double estimate(const holder& who, std::string_view customer, part_share share,
                                  time_point now) const;
    [[nodiscard]] bool silent(const holder& who, time_point now) const;

    std::vector<holder> m_holders;
    std::map<std::string, std::map<std::string, sighting, std::less<>>, std::less<>> m_seen;
    std::map<std::string, time_point, std::less<>> m_silent_until;
    /// Customers that came near their limit lately.
    std::map<std::string, time_point, std::less<>> m_near_limit_until;
};

} // namespace eelgrassdoor::limits
