/// \file
/// Defines what the other daemons' digests have told. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "fleet/message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// The newest digest of each daemon, without the load that it tells.
class peer_table {
public:
    /// Takes a digest in. False when it is not newer than what is known: digests come late, twice
    /// and by several ways. The last one of a daemon changes nothing else.
    bool accept(const load_digest& digest, time_point now);

    /// Whether a daemon was heard within \p age, by whatever way.
    [[nodiscard]] bool heard_within(std::string_view host, duration age, time_point now) const;
    /// The same, and it said that it reaches the key-value service.
    [[nodiscard]] bool peer_reaches_store(std::string_view host, duration age,
                                          time_point now) const;
    /// Whether any daemon that was heard within \p age reaches the key-value service.
    [[nodiscard]] bool any_peer_reaches_store(duration age, time_point now) const;
    /// Tokens of a customer and route that wait at these daemons.
    [[nodiscard]] std::uint64_t waiting(std::uint64_t customer_and_route) const;

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
