/// \file
/// Defines the fleet-wide load of the targets and the selection of a target for a request. Performs
/// no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "routing/fleet_target.hpp"
#include "routing/leaving_targets.hpp"
#include "routing/slow_start.hpp"
#include "routing/target_capacity.hpp"
#include "routing/target_constraints.hpp"
#include "routing/target_limits.hpp"
#include "routing/work_kind.hpp"

#include <algorithm>
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

/// Requests of one daemon at one target, and the problems seen with them.
struct target_load {
    int online = 0;
    int batch = 0;
    /// Requests, among the above, that have waited too long for the first response byte.
    int stalled = 0;
    /// Responses that failed within fleet_load::failure_window.
    int failures = 0;

    bool operator==(const target_load&) const = default;
};

/// Requests of one daemon at all targets, by target id.
using load_by_target = std::map<std::string, target_load, std::less<>>;

/// Requests of another daemon at one target. All work on the targets comes from the daemons of the
/// fleet, so the sum of what each daemon reports is the whole load, without querying the targets.
struct peer_target_load {
    /// stable_hash() of the target id.
    std::uint64_t target = 0;
    target_load counts;
};

/// How a target failed.
enum class target_failure {
    /// The connection could not be established, so nothing was sent.
    unreachable,
    /// The response was cut off, malformed or timed out.
    response_failed,
};

/// Whose requests made room at a target. This daemon knows of its own at once, and of another's as
/// soon as any other daemon does.
enum class room_source { own_request, peer_report };

/// Places for online requests at the targets that may get them, in use or not.
struct online_places {
    int places = 0;
    /// Those in use by this daemon's requests.
    int held = 0;
    /// Those in use by no daemon, as far as is known.
    int free = 0;
    /// Targets with at least half of their slots free.
    int idle_targets = 0;
    /// Daemons whose load is known, with this one.
    std::size_t daemons = 1;
};

/// Names of availability zones.
using zone_set = std::set<std::string, std::less<>>;

/// Parameters of target selection.
struct placement_options {
    std::string local_zone;
    /// Online requests that may queue inside a target beyond its slots. With eight slots and 0.7 s
    /// per request a slot frees every 90 ms, so two queued requests still start within an objective
    /// of 300 ms.
    int max_queued_at_target = 2;
    /// Slots of each target that batch work leaves free for online requests.
    int batch_reserve = 1;
};

/// The targets, their load and their failures. The view is eventually consistent: any part of it
/// may be outdated. Not thread-safe.
class fleet_load {
public:
    /// How long a load report of another daemon is valid. Covers three consecutive lost datagrams
    /// at the interval at which unchanged loads are repeated.
    static constexpr duration peer_load_lifetime = milliseconds(2000);
    /// Bounds of the exponential backoff during which a failed target gets no requests.
    static constexpr duration initial_backoff = milliseconds(500);
    static constexpr duration max_backoff = seconds(4);
    /// How long a failed response is counted and reported to other daemons.
    static constexpr duration failure_window = seconds(3);
    /// Failures within failure_window, over all daemons, from which a target is degraded. A target
    /// that serves 5 requests per second and fails one response in 20 reaches this about once a
    /// minute.
    static constexpr int degraded_failure_threshold = 3;
    /// At most one in this many targets of a service (but always one) is avoided as degraded. When
    /// more are degraded, the cause is likely elsewhere, and none of them is avoided.
    static constexpr std::size_t targets_per_degraded = 4;

    explicit fleet_load(placement_options options) : m_options(std::move(options)) {}
    fleet_load(const fleet_load&) = delete;
    fleet_load& operator=(const fleet_load&) = delete;
    fleet_load(fleet_load&&) = default;
    fleet_load& operator=(fleet_load&&) = default;
    ~fleet_load() = default;

    /// Replaces the target list. Request counts are kept; failures and backoff are kept for targets
    /// with an unchanged start time.
    void set_targets(std::vector<fleet_target> targets);
    /// Replaces the set of availability zones whose targets get no requests. Targets of a zone that
    /// leaves the set are cold, as they may have been idle or restarted meanwhile.
    void set_evacuated_zones(zone_set zones, time_point now);
    [[nodiscard]] const zone_set& evacuated_zones() const { return m_evacuated_zones; }
    /// Number of listed targets that are, or may be, cold.
    [[nodiscard]] std::size_t cold_count(time_point now) const;
    /// The limit on requests to cold targets.
    slow_start& cold_targets() { return m_cold_targets; }
    /// The limits that targets name in their responses.
    target_limits& request_limits() { return m_request_limits; }
    /// What each target takes well, as learnt from its answers.
    target_capacity& capacities() { return m_capacities; }
    /// Records the time between two events of a stream from target \p id, as a sample of the pace
    /// that it keeps under its present load.
    void record_event_gap(std::string_view id, duration gap, time_point now);
    /// Number of listed targets with a request limit.
    [[nodiscard]] std::size_t limited_count() const;
    /// The listed target with this id, or null. Valid until the next set_targets().
    [[nodiscard]] const fleet_target* find(std::string_view id) const;

    /// Up to \p count listed targets other than \p id, drawn at random.
    [[nodiscard]] std::vector<fleet_target> draw_others(std::string_view id, std::size_t count,
                                                        random_source& random) const;

    /// The id of a listed target, or its hash in decimal if it is not listed.
    [[nodiscard]] std::string name_of(const target_instance& instance) const;

    /// Replaces the load that the daemon \p peer reported. Without a new report it is dropped after
    /// peer_load_lifetime.
    void update_peer_load(std::string_view peer, std::vector<peer_target_load> loads,
                          time_point now);
    /// Drops the load that the daemon \p peer reported.
    void remove_peer(std::string_view peer);

    /// Records that a target instance has announced its shutdown: it gets no more requests,
    /// whatever the target list says. Returns whether this was not known before.
    bool mark_leaving(const target_instance& instance);
    /// Records that the process that started at \p started_at has been replaced at a listed target.
    /// Until the entry changes, the target's version is routing::unknown_version, and it is picked
    /// only when no other one has room. Returns whether this was not known before.
    bool mark_outdated(std::string_view id, std::uint64_t started_at);
    /// Whether a target instance, listed or not, has announced its shutdown.
    [[nodiscard]] bool is_leaving(const target_instance& instance) const {
        return m_leaving.contains(instance);
    }
    /// The listed targets that announced their shutdown, for propagation to other daemons.
    [[nodiscard]] std::vector<target_instance> leaving() const;
    /// This daemon's requests at all targets, for propagation to other daemons. Targets without
    /// requests and failures are left out. Valid until the next change of the local load.
    [[nodiscard]] const load_by_target& local_load(time_point now);

    /// Count the start and end of this daemon's requests at target \p id.
    void record_online_sent(std::string_view id) { adjust_local_load(id, {.online = 1}); }
    void record_online_ended(std::string_view id) {
        adjust_local_load(id, {.online = -1});
        if (on_room) {
            on_room(room_source::own_request);
        }
    }
    void record_batch_sent(std::string_view id) { adjust_local_load(id, {.batch = 1}); }
    void record_batch_ended(std::string_view id) { adjust_local_load(id, {.batch = -1}); }

    /// Count the start and end of a stall: a request that has waited too long for its first
    /// response byte. Meanwhile no daemon sends the target other requests, unless no other target
    /// is available.
    void record_stall(std::string_view id) { adjust_local_load(id, {.stalled = 1}); }
    void record_stall_end(std::string_view id) { adjust_local_load(id, {.stalled = -1}); }

    /// Records a failed request. An unreachable target enters backoff at once; a target with failed
    /// responses does so after two in a row, since an engine may fail a few responses and serve all
    /// others. All targets of another zone enter backoff when a second one there is unreachable and
    /// none has responded in between, since the zone is then likely to be partitioned.
    void record_failure(std::string_view id, target_failure how, time_point now);
    /// Forgets which targets and zones were unreachable or failed, as the cause was elsewhere.
    void forget_unreachable();
    /// Records a successful response, which ends the backoff of the target and of its zone.
    void record_success(std::string_view id, time_point now);

    /// Picks a target of \p service for an online request, or none when every target is leaving,
    /// evacuated, ruled out by \p constraints, full, or cold and at its limit. Targets in backoff
    /// are picked only when no other target is left. Batch streams can be preempted and do not
    /// count as load. The caller must send the request, since it counts towards the limit of a cold
    /// target. A target with a request limit needs a permit as well.
    [[nodiscard]] std::optional<fleet_target> pick_online(std::string_view service,
                                                          const target_constraints& constraints,
                                                          time_point now, random_source& random);
    /// Counts the places at the targets that pick_online() would consider, full or not.
    [[nodiscard]] online_places count_places(std::string_view service,
                                             const target_constraints& constraints, time_point now);
    /// Called when a target may have got room for online requests: one of this daemon's has ended,
    /// or another daemon reports fewer. Must not change the load. May be empty.
    std::function<void(room_source)> on_room;
    /// Whether a batch item may start at a target with \p free slots left for batch work, which may
    /// be zero or negative.
    using may_start_fn = std::function<bool(const fleet_target& target, int free)>;
    /// Picks a target for a batch item among those with a free slot beyond the batch reserve that
    /// \p may_start accepts, or none. Cold targets get no batch items. \p may_start is called for
    /// every candidate, also for full ones.
    [[nodiscard]] std::optional<fleet_target> pick_batch(std::string_view service,
                                                         const target_constraints& constraints,
                                                         time_point now, random_source& random,
                                                         const may_start_fn& may_start);
    /// The number of this daemon's batch streams at \p id to stop in favour of online requests.
    /// Among daemons with batch streams there, the one with the most streams stops first, and of
    /// two with equally many the one with the lesser name, so all daemons agree on the order.
    /// \p local_name is the name under which others know this daemon's reports.
    [[nodiscard]] int batch_streams_to_preempt(std::string_view id, std::string_view local_name,
                                               time_point now);

    /// Load of all daemons at a target, listed or not; zero when nothing is known of it.
    [[nodiscard]] target_load total(std::string_view id, time_point now);
    /// Human-readable summary of the state that decides on requests of \p service, for the log.
    [[nodiscard]] std::string describe(std::string_view service, time_point now);
    /// Whether any listed target of \p service is not leaving.
    [[nodiscard]] bool serves(std::string_view service) const;
    /// Whether any listed target of \p service with this software version is not leaving.
    [[nodiscard]] bool serves(std::string_view service, std::string_view version) const;
    /// The software versions of the listed targets of \p service that are not leaving.
    [[nodiscard]] std::set<std::string, std::less<>> versions_of(std::string_view service) const;

private:
    /// The latest load report of another daemon.
    struct peer_load {
        std::vector<peer_target_load> loads;
        time_point received_at;
    };
    /// Exponential backoff of a target or zone.
    struct backoff_state {
        duration interval{};
        time_point until{};
        /// Starts the next backoff with twice the previous interval, unless one is in progress.
        void begin(time_point now);
    };
    struct zone_state {
        /// Targets that were unreachable since the last successful response in the zone.
        std::set<std::string, std::less<>> unreachable;
        backoff_state backoff;
    };
    struct target_state {
        fleet_target target;
        target_instance instance;
        int consecutive_failures = 0;
        backoff_state backoff;
        /// Whether the target runs another process than the listed one.
        bool is_outdated = false;
        target_load local;
        /// Load from all peers, summed as their reports arrive, so that a pick costs one pass over
        /// the targets whatever the number of daemons. Points into m_peer_totals.
        const target_load* peer_total = nullptr;
        /// Points into m_zones.
        const zone_state* zone = nullptr;
        /// Points into m_capacities.
        const capacity_figure* capacity = nullptr;

        [[nodiscard]] target_load load() const {
            return {local.online + peer_total->online, local.batch + peer_total->batch,
                    local.stalled + peer_total->stalled, local.failures + peer_total->failures};
        }
        [[nodiscard]] bool is_degraded() const {
            const target_load all = load();
            return all.stalled > 0 || all.failures >= degraded_failure_threshold;
        }
    };
    /// Online requests that the target may hold, running and queued: its slots and
    /// placement_options::max_queued_at_target, fewer while it is slow or known to slow early.
    [[nodiscard]] int concurrency_limit(const target_state& state) const;
    /// Slots of the target that it uses without slowing down.
    [[nodiscard]] int usable_slots(const target_state& state) const {
        return std::min(state.target.slots, concurrency_limit(state));
    }
    /// Cost of one more online request at the target, in requests per slot of a target of neutral
    /// speed.
    [[nodiscard]] static double request_cost(const target_state& state, const target_load& load);
    /// Passes the listed targets to m_capacities.
    void list_capacities();
    /// Adds \p by to this daemon's load at target \p id. Entries that become zero are removed.
    void adjust_local_load(std::string_view id, target_load by);
    /// Adds \p loads to m_peer_totals, or subtracts them when \p sign is -1.
    void add_peer_loads(const std::vector<peer_target_load>& loads, int sign);
    /// Removes load reports older than peer_load_lifetime from the sums.
    void expire_peers(time_point now);
    /// Stops counting failed responses of this daemon older than failure_window.
    void expire_failures(time_point now);
    /// Whether \p target may get a request of this kind, whatever its load and failures.
    [[nodiscard]] bool is_eligible(const target_state& state, work_kind kind, time_point now);
    /// The targets within \p constraints that may get a request: the healthy ones, else the
    /// degraded ones, else those in backoff. Targets of another or an unknown version count in none
    /// of them. Valid until the next call.
    [[nodiscard]] const std::vector<const target_state*>&
    candidates(std::string_view service, const target_constraints& constraints, work_kind kind,
               time_point now);
    [[nodiscard]] static bool is_backing_off(const target_state& state, time_point now);
    /// Counts \p target as unreachable in its zone, and starts the zone's backoff at the second
    /// one.
    void record_unreachable(const fleet_target& target, time_point now);

    placement_options m_options;
    /// The latest target list as passed to set_targets().
    std::vector<fleet_target> m_listed;
    /// By target id.
    std::map<std::string, target_state, std::less<>> m_targets;
    /// Points into m_targets.
    std::map<std::string, std::vector<const target_state*>, std::less<>> m_by_service;
    /// By daemon name.
    std::map<std::string, peer_load, std::less<>> m_peers;
    /// Load from all peers by stable_hash() of the target id, for listed and unlisted targets.
    std::unordered_map<std::uint64_t, target_load> m_peer_totals;
    /// No load report expires before this time.
    time_point m_next_expiry = time_point::min();
    load_by_target m_local_load;
    /// By availability zone.
    std::map<std::string, zone_state, std::less<>> m_zones;
    leaving_targets m_leaving;
    zone_set m_evacuated_zones;
    slow_start m_cold_targets;
    target_limits m_request_limits;
    target_capacity m_capacities;
    /// Failed responses of this daemon's requests, oldest first.
    std::deque<std::pair<time_point, std::string>> m_recent_failures;
    /// Results of candidates(), kept to reuse their memory.
    std::vector<const target_state*> m_healthy;
    std::vector<const target_state*> m_degraded;
    std::vector<const target_state*> m_backing_off;
};

} // namespace eelgrassdoor::routing
