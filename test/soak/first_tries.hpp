/// \file
/// Defines the record of callers' first tries and the checks of the rule RECOVER on it.
#pragma once

#include "soak/soak_fleet.hpp"

#include <string>
#include <vector>

namespace eelgrassdoor::test {

enum class request_kind {
    stream,
    plain,
    /// A plain request with the path and body of others.
    repeated,
    /// A request that may not be repeated.
    once,
    job_acceptance,
    job_read,
};

/// A request that is no retry.
struct first_try {
    const daemon_process* host = nullptr;
    request_kind kind = request_kind::stream;
    time_point sent_at;
    /// Whether a whole answer has arrived.
    bool served = false;
    /// Whether the host and what it needs, but for its engines, were free of disturbances.
    bool in_touch = true;
};

/// Counts first tries by host and kind of request.
class first_tries {
public:
    void add(first_try one) { m_tries.push_back(one); }

    /// Checks that hosts that were cut off from all engines served two thirds as often as the
    /// others, or few of their tries failed: over all, by way of the cut and kind, and by host and
    /// kind. Prints the counts.
    void check_cuts(const std::vector<cut_window>& cuts) const;
    /// Checks that a quarter of what was sent from \p since on was served, by kind, and by host and
    /// kind. Prints the counts, those before \p fault too, and names the worst host.
    void check_recovery(time_point fault, time_point since) const;

private:
    std::vector<first_try> m_tries;
};

} // namespace eelgrassdoor::test
