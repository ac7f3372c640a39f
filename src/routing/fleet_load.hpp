/// \file
/// Defines what is known of the targets' load and which target gets a request. Pure: no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "routing/leaving_targets.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eelgrassdoor::routing {

/// One start of a target.
struct fleet_target {
    std::string id;
    std::string service;
    /// `IP:PORT`.
    std::string endpoint;
    std::string availability_zone;
    /// Requests that it runs at a time.
    int slots = 1;
    bool leaving = false;
    /// When it was started, in Unix milliseconds: tells two starts under one id apart.
    std::uint64_t started_at = 0;

    bool operator==(const fleet_target&) const = default;
};

/// Requests of one daemon at one target, and how the target treats them.
struct target_share {
    int online = 0;
    int batch = 0;
    /// Of these, requests that wait for the first byte of their answer for too long.
    int stalled = 0;
    /// Answers that broke off within broken_memory.
    int broken = 0;

    bool operator==(const target_share&) const = default;
};

/// Requests of one daemon at all targets, by the targets' ids.
using load_by_target = std::map<std::string, target_share, std::less<>>;

/// Requests of another daemon at one target. All work on the targets comes from the daemons of the
/// fleet, so what each tells of its own requests gives the whole load, without asking the targets.
struct told_share {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    target_share share;
};

/// How a target failed.
enum class target_failure {
    /// It could not be connected to, so nothing was sent.
    unreachable,
    /// It broke an answer off, sent nonsense or fell silent.
    broke_off,
};

struct placement_options {
    std::string own_zone;
    /// Online requests that may wait inside a target beyond its slots. With eight slots of 0.7 s a
    /// place frees every 90 ms, so two that wait still start within an objective of 300 ms.
    int max_waiting_inside = 2;
    /// Slots of each target that batch work leaves free for the next online requests.
    int batch_reserve = 1;
};

/// The targets, their load and their failures. Everything here may be wrong for a while.
class fleet_load {
public:
    /// What another daemon told counts for this long. Three lost datagrams in a row at the
    /// interval in which unchanged loads are repeated.
    static constexpr duration peer_load_lifetime = milliseconds(2000);
    /// First and longest time for which a target that failed gets no request.
    static constexpr duration first_backoff = milliseconds(500);
    static constexpr duration longest_backoff = seconds(4);
    /// How long an answer that broke off is remembered and told.
    static constexpr duration broken_memory = seconds(3);
    /// A target with so many of them, at all daemons together, is ailing. A target that serves five
    /// requests a second and loses one answer in twenty has as many about once a minute.
    static constexpr int broken_when_ailing = 3;
    /// When more than one of a service's targets, and more than one in this many, are ailing, the
    /// cause is likely to be elsewhere, and none is passed over.
    static constexpr std::size_t max_ailing_part = 4;

    explicit fleet_load(placement_options options) : m_options(std::move(options)) {}
    fleet_load(const fleet_load&) = delete;
    fleet_load& operator=(const fleet_load&) = delete;
    fleet_load(fleet_load&&) = default;
    fleet_load& operator=(fleet_load&&) = default;
    ~fleet_load() = default;

    /// Takes in the targets. Counts of those that stay are kept.
    void set_targets(std::vector<fleet_target> targets);
    [[nodiscard]] const fleet_target* find(std::string_view id) const;

    /// Takes in what another daemon told; it replaces what that daemon told before.
    void note_peer(std::string_view peer, std::vector<told_share> loads, time_point now);
    void forget_peer(std::string_view peer);

    /// A start of a target has said that it leaves: it gets no more requests, whatever the list
    /// says of it. True when this is news.
    bool note_leaving(const leaving_start& start);
    /// The listed targets that said so, for the other daemons.
    [[nodiscard]] std::vector<leaving_start> leaving() const;
    /// This daemon's own requests, for the others.
    [[nodiscard]] const load_by_target& own(time_point now);

    void note_online_sent(std::string_view id) { change_own(id, {.online = 1}); }
    void note_online_ended(std::string_view id) { change_own(id, {.online = -1}); }
    void note_batch_sent(std::string_view id) { change_own(id, {.batch = 1}); }
    void note_batch_ended(std::string_view id) { change_own(id, {.batch = -1}); }

    /// A request waits for too long for its first byte, or does so no more. Until then the target
    /// gets no other request of any daemon, if others can take it.
    void note_stalled(std::string_view id) { change_own(id, {.stalled = 1}); }
    void note_stall_ended(std::string_view id) { change_own(id, {.stalled = -1}); }

    /// The target rests at once when it cannot be reached, and after a second answer in a row that
    /// broke off: engines that break off a few answers serve all others.
    /// All targets of a zone rest when a second one there cannot be reached and none has answered
    /// since: the zone is likely to be cut off.
    void note_failed(std::string_view id, target_failure how, time_point now);
    void note_answered(std::string_view id);

    /// Picks a target of \p service for an online request: none when each is gone, excluded or
    /// full. Resting targets are picked only when no other one serves the request at all. Batch
    /// streams make room and do not count as load.
    [[nodiscard]] std::optional<fleet_target>
    pick_online(std::string_view service, const std::set<std::string, std::less<>>& excluded,
                time_point now, random_source& random);
    /// Whether a batch item may start at a target with so many free slots.
    using may_start_fn = std::function<bool(const fleet_target& target, int free)>;
    /// Picks a target with a slot that neither online nor batch work uses, of those that
    /// \p may_start allows. It is asked for every target that may be used at all.
    [[nodiscard]] std::optional<fleet_target>
    pick_batch(std::string_view service, const std::set<std::string, std::less<>>& excluded,
               time_point now, random_source& random, const may_start_fn& may_start);
    /// How many of this daemon's batch streams at \p id have to make room for online requests. Of
    /// several daemons with batch streams there, the one with the most makes room first.
    [[nodiscard]] int batch_to_stop(std::string_view id, std::string_view own_name, time_point now);

    /// Requests of all daemons at a target.
    [[nodiscard]] target_share total(std::string_view id, time_point now);
    /// What decides on requests of \p service now, for the log.
    [[nodiscard]] std::string describe(std::string_view service, time_point now);
    /// Whether the list names any target of \p service that is not leaving.
    [[nodiscard]] bool serves(std::string_view service) const;

private:
    struct peer_load {
        std::vector<told_share> loads;
        time_point heard_at;
    };
    struct rest {
        duration backoff{};
        time_point until{};
        /// Begins a rest, longer than the one before.
        void begin(time_point now);
    };
    struct zone_state {
        /// Targets that could not be reached since one there has answered.
        std::set<std::string, std::less<>> unreachable;
        rest resting;
    };
    struct target_state {
        fleet_target target;
        int broken_answers = 0;
        rest resting;
        target_share own;
        /// Sums that are kept as digests come in, so that a pick costs one pass over the targets
        /// whatever the number of daemons. Points into m_told.
        const target_share* told = nullptr;
        /// Points into m_zones.
        const zone_state* zone = nullptr;

        [[nodiscard]] target_share load() const {
            return {own.online + told->online, own.batch + told->batch, own.stalled + told->stalled,
                    own.broken + told->broken};
        }
        [[nodiscard]] bool is_ailing() const {
            const target_share all = load();
            return all.stalled > 0 || all.broken >= broken_when_ailing;
        }
    };
    using excluded_ids = std::set<std::string, std::less<>>;

    void change_own(std::string_view id, target_share by);
    void add_told(const std::vector<told_share>& loads, int sign);
    /// Takes what silent daemons told out of the sums.
    void expire_peers(time_point now);
    /// Forgets answers of this daemon that broke off long ago.
    void expire_broken(time_point now);
    /// The targets that may get a request: neither ailing nor resting ones unless there are no
    /// others. Valid until the next call.
    [[nodiscard]] const std::vector<const target_state*>&
    candidates(std::string_view service, const excluded_ids& excluded, time_point now);
    [[nodiscard]] static bool is_resting(const target_state& state, time_point now);
    void note_unreachable_zone(const fleet_target& target, time_point now);

    placement_options m_options;
    /// The targets as they were taken in last.
    std::vector<fleet_target> m_listed;
    std::map<std::string, target_state, std::less<>> m_targets;
    std::map<std::string, std::vector<const target_state*>, std::less<>> m_by_service;
    std::map<std::string, peer_load, std::less<>> m_peers;
    /// Requests of all other daemons by the hash of the target's id, listed or not.
    std::unordered_map<std::uint64_t, target_share> m_told;
    /// No daemon's word lapses before.
    time_point m_next_expiry = time_point::min();
    load_by_target m_own;
    std::map<std::string, zone_state, std::less<>> m_zones;
    leaving_targets m_leaving;
    /// Answers that broke off here, oldest first.
    std::deque<std::pair<time_point, std::string>> m_broken;
    std::vector<const target_state*> m_fit;
    std::vector<const target_state*> m_ailing;
    std::vector<const target_state*> m_resting;
};

} // namespace eelgrassdoor::routing
