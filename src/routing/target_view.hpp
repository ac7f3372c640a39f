/// \file
/// Defines what an entry host knows of the targets, and which one it picks. Pure: no I/O.
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

/// A target as the host list names it.
struct target_info {
    std::string name;
    std::string endpoint;
    std::string availability_zone;
    bool leaving = false;
    /// Models of an engine, or routes of a plain service.
    std::set<std::string, std::less<>> serves;
};

/// A target's own word about its load, which lags.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Batch streams among the running ones; they yield to online requests.
    std::uint32_t running_batch = 0;
    time_point observed_at{};
};

/// What a target is picked for.
struct pick_request {
    /// The model or service route that must be served.
    std::string_view serves;
    /// Hash of the start of the prompt; targets that saw it lately hold it in their prefix cache.
    std::uint64_t prefix_hash = 0;
    /// Targets that have failed this request already.
    std::set<std::string, std::less<>> excluded;
    /// Whether a target may be picked although its slots are taken, as for plain services.
    bool may_exceed_slots = false;
};

struct picked_target {
    std::string name;
    std::string endpoint;
    bool prefix_affinity = false;
};

/// Counts online requests that this daemon has on one target.
struct local_requests {
    int in_flight = 0;
    /// Sent since the latest report and not ended.
    int sent_since_report = 0;
    /// Sent before the latest report and ended since.
    int ended_since_report = 0;
};

/// The ways to pick, for measurements beside the default.
enum class pick_policy { affinity_then_least_load, random, least_reported };

/// The targets and their load. Everything here may be wrong for a while.
class target_view {
public:
    /// A target is not picked for this time after a failure.
    static constexpr duration failure_backoff = seconds(2);
    /// Requests for each slot above which a target counts as full. Some may wait inside a target:
    /// its queue serves all entry hosts in the order of arrival, while a host that waits for a
    /// report of a free slot loses against hosts whose own request has just ended there.
    static constexpr double max_load_ratio = 1.5;
    /// The slots assumed until a target has reported.
    static constexpr std::uint32_t assumed_slots = 8;

    explicit target_view(std::string local_zone,
                         pick_policy policy = pick_policy::affinity_then_least_load)
        : m_local_zone(std::move(local_zone)), m_policy(policy) {}

    /// Takes in the host list. Counts of targets that stay are kept.
    void set_targets(const std::vector<target_info>& targets);
    /// Takes in a report when it was observed later than the known one.
    bool record_report(std::string_view target, const load_report& report);

    /// Picks a target, or none when all that serve the request are full, failing or gone.
    std::optional<picked_target> pick(const pick_request& request, time_point now,
                                      random_source& random) const;
    /// Whether any live target serves \p what.
    [[nodiscard]] bool serves(std::string_view what) const;

    void record_sent(std::string_view target);
    /// \p sent_at is when the request was sent.
    void record_ended(std::string_view target, time_point sent_at);
    void record_failure(std::string_view target, time_point now);

    /// The requests that the target is believed to have, running and waiting.
    [[nodiscard]] double estimated_load(std::string_view target) const;
    /// The slots of all live targets that serve \p what.
    [[nodiscard]] std::uint32_t slots_of(std::string_view what) const;

    struct target_state {
        target_info info;
        load_report report;
        local_requests own;
        time_point failed_until{};
    };
    [[nodiscard]] const std::map<std::string, target_state, std::less<>>& targets() const {
        return m_targets;
    }

private:
    struct candidate {
        const target_state* target;
        /// Requests for each slot.
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

/// The hash of the part of a prompt that decides where it is cached.
std::uint64_t prefix_hash(std::string_view prompt);

} // namespace eelgrassdoor::routing
