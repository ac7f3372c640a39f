/// \file
/// Defines the state of the other daemons as received in their digests. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "fleet/member_directory.hpp"
#include "fleet/message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Holds the newest digest of each daemon except its load per target. Sequence numbers order the
/// digests of one incarnation. Incarnations are told apart but not ordered by their number, which
/// is a time by the clock of the daemon's host and may decrease at a restart: another incarnation
/// replaces the stored one when it is the registered one or the stored one is silent. One that was
/// replaced has to wait much longer, so that its late digests change nothing and two daemons with
/// one name do not replace each other in turn. Not thread-safe.
class peer_table {
public:
    /// Silence of the stored incarnation after which an unregistered one replaces it. Twice the
    /// interval at which unchanged digests are repeated.
    static constexpr duration replacement_silence = milliseconds(1000);
    /// The same for an incarnation that was replaced before. Longer than a daemon that forwards
    /// digests may be paused.
    static constexpr duration return_silence = seconds(15);
    /// Number of replaced incarnations that are remembered for each daemon.
    static constexpr std::size_t max_replaced = 8;

    /// Replaces the set of registered daemons.
    void set_registered(const member_map& members);
    /// Stores a digest. Returns false for one that is not newer than the stored one, since digests
    /// may arrive late, duplicated or by several paths. After a final digest the daemon does not
    /// count as heard, and no other digest of that incarnation is accepted.
    bool accept(const load_digest& digest, time_point now);
    /// Incarnation of the stored digest of \p host; nothing when there is none.
    [[nodiscard]] std::optional<std::uint64_t> incarnation_of(std::string_view host) const;

    /// Whether a digest of \p host arrived within the last \p age, directly or forwarded.
    [[nodiscard]] bool heard_within(std::string_view host, duration age, time_point now) const;
    /// Number of daemons heard within the last \p age.
    [[nodiscard]] std::size_t count_heard_within(duration age, time_point now) const;
    /// Like heard_within(), and the digest said that the host reaches the key-value service.
    [[nodiscard]] bool peer_reaches_store(std::string_view host, duration age,
                                          time_point now) const;
    /// Whether any daemon heard within the last \p age reaches the key-value service.
    [[nodiscard]] bool any_peer_reaches_store(duration age, time_point now) const;
    /// Whether an incarnation of a daemon may own unfinished jobs.
    using owns_jobs_fn = std::function<bool(std::string_view host, std::uint64_t incarnation)>;
    /// Sum of the waiting tokens of a customer and route at all other daemons, according to the
    /// latest digest of each incarnation, however old, for which \p owns_jobs is true. Once it is
    /// false, other daemons count the tokens in the jobs that they have taken over.
    /// \param customer_and_route hash as in waiting_tokens::customer_and_route
    [[nodiscard]] std::uint64_t sum_waiting_tokens(std::uint64_t customer_and_route,
                                                   const owns_jobs_fn& owns_jobs) const;

private:
    struct replaced_run {
        std::uint64_t incarnation = 0;
        std::vector<waiting_tokens> waiting;
    };
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at{};
        bool reaches_store = false;
        std::vector<waiting_tokens> waiting;
        /// The incarnations that were replaced last, the latest at the end.
        std::vector<replaced_run> replaced;
        /// Whether the digest was a final one.
        bool has_stopped = false;

        [[nodiscard]] bool is_heard(duration age, time_point now) const {
            return !has_stopped && now - heard_at <= age;
        }
    };

    /// Whether \p digest is newer than what \p stored holds of its daemon.
    [[nodiscard]] bool is_newer(const load_digest& digest, const peer_state& stored,
                                time_point now) const;

    [[nodiscard]] const peer_state* find_heard(std::string_view host, duration age,
                                               time_point now) const;

    std::map<std::string, peer_state, std::less<>> m_peers;
    /// Registered incarnation of each daemon.
    std::map<std::string, std::uint64_t, std::less<>> m_registered;
};

} // namespace eelgrassdoor::fleet
