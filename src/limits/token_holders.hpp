/// \file
/// Defines which daemons hold the tokens of each customer. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::limits {

/// A daemon that admits callers' requests.
struct frontend_host {
    std::string host;
    std::string availability_zone;
    /// Whether the daemon was heard recently and can hold tokens; always true for the local one.
    bool is_heard = false;

    bool operator==(const frontend_host&) const = default;
};

/// Assigns the tokens of each customer to two daemons by rendezvous hashing, so that the customer's
/// requests at all daemons draw on one bucket. The primary has most of the rate and gets all
/// requests; the secondary, in another availability zone where possible, lends its part to the
/// primary and serves with it while the primary does not answer. When a holder is no longer heard,
/// the daemon that is next in rank takes its place.
///
/// Daemons may disagree on the holders for a moment. A daemon that is cut off, alone or with
/// others, finds holders among those that it hears, and these have the part of the rate that is due
/// to the daemons on their side. Not thread-safe.
class token_holders {
public:
    /// The part of a customer's rate that the secondary has, enough to admit some requests until
    /// the other daemons find that the primary is gone.
    static constexpr double secondary_share = 0.25;

    /// Replaces the set of daemons. Returns whether it has changed.
    bool set_frontends(std::vector<frontend_host> frontends);

    /// The hosts that hold tokens of \p customer, the primary first; fewer than two only when fewer
    /// daemons are heard. Valid until set_frontends().
    [[nodiscard]] const std::vector<std::string>& holders_of(std::string_view customer);
    /// The part of the rate of \p customer that \p host has, in the range 0 to 1; 0 unless it is a
    /// holder.
    [[nodiscard]] double share_of(std::string_view customer, std::string_view host);

private:
    std::vector<frontend_host> m_frontends;
    /// The part of the daemons that are heard, in the range 0 to 1.
    double m_heard_part = 0;
    /// Results of holders_of() for the current set of daemons, by customer.
    std::map<std::string, std::vector<std::string>, std::less<>> m_holders;
};

} // namespace eelgrassdoor::limits
