/// \file
/// Defines an entry host's view of the targets and the policy that picks one for a request.
/// Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::routing {

/// A target's entry in the host list.
struct target_info {
    std::string name;
    /// `IP:PORT`.
    std::string endpoint;
    std::string availability_zone;
    /// Whether the target is shutting down and accepts no new requests.
    bool leaving = false;
    /// The models that an engine serves, or the routes of a plain service.
    std::set<std::string, std::less<>> serves;
};

/// The load that a target reports about itself, delayed by the reporting interval.
struct load_report {
    /// Requests that occupy a slot.
    std::uint32_t running = 0;
    /// Requests queued inside the target.
    std::uint32_t waiting = 0;
    /// Requests that the target runs concurrently; 0 when unknown.
    std::uint32_t slots = 0;
    /// Batch streams included in `running`; online requests preempt them.
    std::uint32_t running_batch = 0;
    time_point observed_at{};
};

/// The requirements of a request for which a target is picked.
struct pick_request {
    /// The model or service route that the target must serve.
    std::string_view serves;
    /// prefix_hash() of the prompt; targets that processed the same prefix recently have it in
    /// their prefix cache.
    std::uint64_t prefix_hash = 0;
    /// Targets that have already failed this request.
    std::set<std::string, std::less<>> excluded;
    /// Whether a target whose slots are all in use may be picked, as for plain services.
    bool may_exceed_slots = false;
};

/// The result of target_view::pick().
struct picked_target {
    std::string name;
    std::string endpoint;
    /// Whether the target was chosen by prompt prefix and not by load.
    bool prefix_affinity = false;
};

/// Online requests of this daemon at one target.
struct local_requests {
    int in_flight = 0;
    /// Sent after the latest report and still running.
    int sent_since_report = 0;
    /// Sent before the latest report and finished after it.
    int ended_since_report = 0;
};

/// Target selection policies. The first is the default; the others are baselines for benchmarks.
enum class pick_policy { affinity_then_least_load, random, least_reported };

/// The targets and their estimated load. The view is eventually consistent: any part of it may be
/// outdated. Not thread-safe.
class target_view {
public:
    /// How long a target is not picked after a failure.
    static constexpr duration failure_backoff = seconds(2);
    /// Requests per slot at which a target counts as full. The value is above 1 so that some
    /// requests queue inside the target: that queue serves all entry hosts in order of arrival,
    /// whereas a host that waits for a report of a free slot loses to hosts whose request has just
    /// ended there.
    static constexpr double max_load_ratio = 1.5;
    /// Slots assumed for a target that has not sent a report.
    static constexpr std::uint32_t assumed_slots = 8;

    explicit target_view(std::string local_zone,
                         pick_policy policy = pick_policy::affinity_then_least_load)
        : m_local_zone(std::move(local_zone)), m_policy(policy) {}

    /// Replaces the target list. Load and backoff of targets that remain listed are kept.
    void set_targets(const std::vector<target_info>& targets);
    /// Applies a load report. Returns false when the target is unknown or the report is not newer
    /// than the latest one.
    bool record_report(std::string_view target, const load_report& report);

    /// Picks a target, or none when every target that serves the request is full, excluded, leaving
    /// or within its failure backoff.
    std::optional<picked_target> pick(const pick_request& request, time_point now,
                                      random_source& random) const;
    /// Whether any target that is not leaving serves the model or route \p model_or_route.
    [[nodiscard]] bool serves(std::string_view model_or_route) const;

    /// Records that an online request was sent. Unknown targets are ignored here and below.
    void record_sent(std::string_view target);
    /// Records the end of an online request that was sent at \p sent_at.
    void record_ended(std::string_view target, time_point sent_at);
    /// Starts the failure backoff of \p target.
    void record_failure(std::string_view target, time_point now);

    /// Estimated number of online requests at the target, running and waiting: the latest report
    /// corrected by this daemon's own requests. Zero for an unknown target.
    [[nodiscard]] double estimated_load(std::string_view target) const;
    /// Total slots of the targets that serve \p model_or_route and are not leaving.
    [[nodiscard]] std::uint32_t slots_of(std::string_view model_or_route) const;

    /// Everything known about one target.
    struct target_state {
        target_info info;
        load_report report;
        local_requests local;
        /// End of the failure backoff.
        time_point failed_until{};
    };
    [[nodiscard]] const std::map<std::string, target_state, std::less<>>& targets() const {
        return m_targets;
    }

private:
    struct candidate {
        const target_state* target;
        /// Estimated requests per slot.
        double load_ratio;
    };

    [[nodiscard]] std::vector<candidate> candidates(const pick_request& request,
                                                    time_point now) const;
    [[nodiscard]] std::optional<picked_target>
    pick_by_affinity_or_load(std::vector<candidate> all, const pick_request& request) const;

    std::string m_local_zone;
    pick_policy m_policy;
    std::map<std::string, target_state, std::less<>> m_targets;
};

/// Hash of the leading 256 bytes of a prompt. Prompts with the same hash are routed to the same
/// target, to reuse its prefix cache.
std::uint64_t prefix_hash(std::string_view prompt);

} // namespace eelgrassdoor::routing
