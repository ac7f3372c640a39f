/// \file
/// Defines the state of the other daemons as received in their digests. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "fleet/message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Holds the newest digest of each daemon except its load per target. Not thread-safe.
class peer_table {
public:
    /// Stores a digest. Returns false for one that is not newer than the stored one, since digests
    /// may arrive late, duplicated or by several paths. A final digest is reported as newer but not
    /// stored.
    bool accept(const load_digest& digest, time_point now);

    /// Whether a digest of \p host arrived within the last \p age, directly or forwarded.
    [[nodiscard]] bool heard_within(std::string_view host, duration age, time_point now) const;
    /// Like heard_within(), and the digest said that the host reaches the key-value service.
    [[nodiscard]] bool peer_reaches_store(std::string_view host, duration age,
                                          time_point now) const;
    /// Whether any daemon heard within the last \p age reaches the key-value service.
    [[nodiscard]] bool any_peer_reaches_store(duration age, time_point now) const;
    /// Sum of the waiting tokens of a customer and route at all other daemons, according to the
    /// latest digest of each, however old.
    /// \param customer_and_route hash as in waiting_tokens::customer_and_route
    [[nodiscard]] std::uint64_t sum_waiting_tokens(std::uint64_t customer_and_route) const;

private:
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at{};
        bool reaches_store = false;
        std::vector<waiting_tokens> waiting;
    };

    [[nodiscard]] const peer_state* find_heard(std::string_view host, duration age,
                                               time_point now) const;

    std::map<std::string, peer_state, std::less<>> m_peers;
};

} // namespace eelgrassdoor::fleet
