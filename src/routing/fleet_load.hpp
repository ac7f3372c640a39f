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
struct target_load {
    int online = 0;
    int batch = 0;
    /// Of these, requests that wait for the first byte of their answer for too long.
    int stalled = 0;
    /// Answers that broke off within failure_window.
    int failures = 0;

    bool operator==(const target_load&) const = default;
};

/// Requests of one daemon at all targets, by the targets' ids.
using load_by_target = std::map<std::string, target_load, std::less<>>;

/// Requests of another daemon at one target. All work on the targets comes from the daemons of the
/// fleet, so what each tells of its own requests gives the whole load, without asking the targets.
struct peer_target_load {
    /// stable_hash() of the target's id.
    std::uint64_t target = 0;
    target_load counts;
};

/// How a target failed.
enum class target_failure {
    /// It could not be connected to, so nothing was sent.
    unreachable,
    /// It broke an answer off, sent nonsense or fell silent.
    response_failed,
};

struct placement_options {
    std::string local_zone;
    /// Online requests that may wait inside a target beyond its slots. With eight slots of 0.7 s a
    /// place frees every 90 ms, so two that wait still start within an objective of 300 ms.
    int max_queued_at_target = 2;
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
    static constexpr duration initial_backoff = milliseconds(500);
    static constexpr duration max_backoff = seconds(4);
    /// How long an answer that broke off is remembered and told.
    static constexpr duration failure_window = seconds(3);
    /// A target with so many of them, at all daemons together, is ailing. A target that serves five
    /// requests a second and loses one answer in twenty has as many about once a minute.
    static constexpr int degraded_failure_threshold = 3;
    /// When more than one of a service's targets, and more than one in this many, are ailing, the
    /// cause is likely to be elsewhere, and none is passed over.
    static constexpr std::size_t targets_per_degraded = 4;

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
    void update_peer_load(std::string_view peer, std::vector<peer_target_load> loads,
                          time_point now);
    void remove_peer(std::string_view peer);

    /// A start of a target has said that it leaves: it gets no more requests, whatever the list
    /// says of it. True when this is news.
    bool mark_leaving(const leaving_instance& start);
    /// The listed targets that said so, for the other daemons.
    [[nodiscard]] std::vector<leaving_instance> leaving() const;
    /// This daemon's own requests, for the others.
    [[nodiscard]] const load_by_target& local_load(time_point now);

    void record_online_sent(std::string_view id) { adjust_local_load(id, {.online = 1}); }
    void record_online_ended(std::string_view id) { adjust_local_load(id, {.online = -1}); }
    void record_batch_sent(std::string_view id) { adjust_local_load(id, {.batch = 1}); }
    void record_batch_ended(std::string_view id) { adjust_local_load(id, {.batch = -1}); }

    /// A request waits for too long for its first byte, or does so no more. Until then the target
    /// gets no other request of any daemon, if others can take it.
    void record_stall(std::string_view id) { adjust_local_load(id, {.stalled = 1}); }
    void record_stall_end(std::string_view id) { adjust_local_load(id, {.stalled = -1}); }

    /// The target rests at once when it cannot be reached, and after a second answer in a row that
    /// broke off: engines that break off a few answers serve all others.
    /// All targets of a zone rest when a second one there cannot be reached and none has answered
    /// since: the zone is likely to be cut off.
    void record_failure(std::string_view id, target_failure how, time_point now);
    void record_success(std::string_view id);

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
    [[nodiscard]] int batch_streams_to_preempt(std::string_view id, std::string_view own_name,
                                               time_point now);

    /// Requests of all daemons at a target.
    [[nodiscard]] target_load total(std::string_view id, time_point now);
    /// What decides on requests of \p service now, for the log.
    [[nodiscard]] std::string describe(std::string_view service, time_point now);
    /// Whether the list names any target of \p service that is not leaving.
    [[nodiscard]] bool serves(std::string_view service) const;

private:
    struct peer_load {
        std::vector<peer_target_load> loads;
        time_point received_at;
    };
    struct backoff_state {
        duration interval{};
        time_point until{};
        /// Begins a rest, longer than the one before.
        void begin(time_point now);
    };
    struct zone_state {
        /// Targets that could not be reached since one there has answered.
        std::set<std::string, std::less<>> unreachable;
        backoff_state backoff;
    };
    struct target_state {
        fleet_target target;
        int consecutive_failures = 0;
        backoff_state backoff;
        target_load own;
        /// Sums that are kept as digests come in, so that a pick costs one pass over the targets
        /// whatever the number of daemons. Points into m_peer_totals.
        const target_load* peer_total = nullptr;
        /// Points into m_zones.
        const zone_state* zone = nullptr;

        [[nodiscard]] target_load load() const {
            return {own.online + peer_total->online, own.batch + peer_total->batch,
                    own.stalled + peer_total->stalled, own.failures + peer_total->failures};
        }
        [[nodiscard]] bool is_degraded() const {
            const target_load all = load();
            return all.stalled > 0 || all.failures >= degraded_failure_threshold;
        }
    };
    using excluded_ids = std::set<std::string, std::less<>>;

    void adjust_local_load(std::string_view id, target_load by);
    void add_peer_loads(const std::vector<peer_target_load>& loads, int sign);
    /// Takes what silent daemons told out of the sums.
    void expire_peers(time_point now);
    /// Forgets answers of this daemon that broke off long ago.
    void expire_failures(time_point now);
    /// The targets that may get a request: neither ailing nor resting ones unless there are no
    /// others. Valid until the next call.
    [[nodiscard]] const std::vector<const target_state*>&
    candidates(std::string_view service, const excluded_ids& excluded, time_point now);
    [[nodiscard]] static bool is_backing_off(const target_state& state, time_point now);
    void record_unreachable(const fleet_target& target, time_point now);

    placement_options m_options;
    /// The targets as they were taken in last.
    std::vector<fleet_target> m_listed;
    std::map<std::string, target_state, std::less<>> m_targets;
    std::map<std::string, std::vector<const target_state*>, std::less<>> m_by_service;
    std::map<std::string, peer_load, std::less<>> m_peers;
    /// Requests of all other daemons by the hash of the target's id, listed or not.
    std::unordered_map<std::uint64_t, target_load> m_peer_totals;
    /// No daemon's word lapses before.
    time_point m_next_expiry = time_point::min();
    load_by_target m_local_load;
    std::map<std::string, zone_state, std::less<>> m_zones;
    leaving_targets m_leaving;
    /// Answers that broke off here, oldest first.
    std::deque<std::pair<time_point, std::string>> m_recent_failures;
    std::vector<const target_state*> m_healthy;
    std::vector<const target_state*> m_degraded;
    std::vector<const target_state*> m_backing_off;
};

} // namespace eelgrassdoor::routing
