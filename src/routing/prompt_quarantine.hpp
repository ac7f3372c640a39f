/// \file
/// Defines the detection of prompt segments that crash targets. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace eelgrassdoor::routing {

/// The end of a target that was about to answer a request with a segment.
struct segment_crash {
    /// Hash of the target's id and start time. Daemons that lost requests to the same start of a
    /// target report the same crash.
    std::uint64_t instance = 0;
    /// How long ago it was last observed.
    duration age{};

    bool operator==(const segment_crash&) const = default;
};

/// What one daemon knows of a segment that is suspected to crash targets.
struct segment_evidence {
    /// stable_hash() of the segment's id.
    std::uint64_t segment = 0;
    /// How long ago a target was last seen to answer a request with the segment, if ever.
    std::optional<duration> served_age;
    /// How long ago the first crash since then was observed.
    duration first_crash_age{};
    std::vector<segment_crash> crashes;
};

/// The crashes that suffice for a quarantine.
struct quarantine_rule {
    /// Number of different targets that must have crashed.
    std::size_t min_crashes = 3;
    /// Minimum time between the first and the last of these crashes.
    duration min_spread = milliseconds(500);
};

/// The rule for whole requests: of those that wait at a target which crashes, few wait at the next
/// one too, and targets that are lost together get no request after the first.
inline constexpr quarantine_rule whole_request_rule{.min_crashes = 2,
                                                    .min_spread = duration::zero()};

/// Finds the prompt segments on which targets crash, and tells which requests contain one. The load
/// pattern that it is meant for is a defect that ends every target which begins to answer a certain
/// segment: requests with it and their retries take down one target after the other, and other
/// requests share their customer and their other segments.
///
/// A crash is blamed on the segment of the request that targets have answered least often, since
/// segments that are shared with sound requests keep being answered. A segment is quarantined after
/// crashes of several targets that are too far apart for one cause, such as a lost zone, with no
/// answer since the first of them. An answer from any target ends the quarantine. Targets may have
/// crashed for another reason, and then nothing is sent that they could answer, so a
/// request is sent on trial. The last segment
/// of a prompt belongs to one request or session, so it is not considered.
///
/// A second instance with whole_request_rule does the same for whole requests, whose fingerprint
/// takes the place of a segment.
///
/// Daemons exchange their evidence; each passes on what it has learnt, so that it outlives the
/// daemon that made the observation. Not thread-safe.
class prompt_quarantine {
public:
    prompt_quarantine() = default;
    explicit prompt_quarantine(const quarantine_rule& rule) : m_rule(rule) {}

    /// How long a segment stays in quarantine after the last crash.
    static constexpr duration quarantine_time = std::chrono::minutes(10);

    /// How long after the last crash and the last trial a request may be sent on trial.
    static constexpr duration trial_interval = seconds(3);
    /// Number of trials until a target has answered one. Another daemon makes its own if this one
    /// is gone or cut off.
    static constexpr int max_trials = 1;

    /// Records that the target start \p instance ended before it answered a request with these
    /// segments. Returns whether this is new evidence.
    bool record_crash(std::span<const std::uint64_t> segments, std::uint64_t instance,
                      time_point now);
    /// Records that a target goes on answering a request with these segments. Returns whether one
    /// of them was suspected.
    bool record_served(std::span<const std::uint64_t> segments, time_point now);

    /// Whether targets have crashed on \p segment and none has answered since.
    [[nodiscard]] bool is_suspected(std::uint64_t segment) const;

    /// The evidence on suspected segments for the other daemons: that with the latest crashes, and
    /// the rest in turn over successive calls.
    [[nodiscard]] std::vector<segment_evidence> evidence(time_point now);
    /// Takes over the evidence of another daemon. Returns the segments that are in quarantine now
    /// and were not before.
    std::vector<std::uint64_t> merge(std::span<const segment_evidence> evidence, time_point now);

    /// Whether any segment has been in quarantine; false allows callers to skip time_left().
    [[nodiscard]] bool is_active() const { return m_is_active; }
    /// Remaining quarantine of a request with these segments; nothing if none is in quarantine.
    [[nodiscard]] std::optional<duration> time_left(std::span<const std::uint64_t> segments,
                                                    time_point now) const;
    /// The first of these segments that is in quarantine.
    [[nodiscard]] std::optional<std::uint64_t>
    find_quarantined(std::span<const std::uint64_t> segments, time_point now) const;
    /// Whether a request with these segments, of which some are in quarantine, may be sent on
    /// trial.
    [[nodiscard]] bool may_try(std::span<const std::uint64_t> segments, time_point now) const;
    /// Records that such a request is sent on trial.
    void record_trial(std::span<const std::uint64_t> segments, time_point now);
    /// The segments in quarantine.
    [[nodiscard]] std::size_t quarantined_count(time_point now) const;

private:
    struct segment_state {
        std::uint32_t served = 0;
        std::optional<time_point> served_at;
        /// When the first crash since the last answer was observed.
        time_point first_crash_at{};
        /// When each target start was last observed to crash; empty if none was since the last
        /// answer.
        std::map<std::uint64_t, time_point> crashes;
        /// Until when the last answer is reported because other daemons suspect the segment.
        time_point refutes_until{};
        /// Trials since the last answer, and when the last one began.
        int trials = 0;
        time_point tried_at = time_point::min();
    };
    using state_map = std::unordered_map<std::uint64_t, segment_state>;

    segment_state& state_of(std::uint64_t segment);
    /// The state of \p segment if it is in quarantine, otherwise null.
    [[nodiscard]] const segment_state* find_in_quarantine(std::uint64_t segment,
                                                          time_point now) const;
    /// When the last crash was observed; \p state must have one.
    [[nodiscard]] static time_point last_crash(const segment_state& state);
    /// End of the quarantine; nothing if \p state does not justify one.
    [[nodiscard]] std::optional<time_point> quarantined_until(const segment_state& state) const;
    /// Adds a crash unless it is known or older than the last answer.
    bool add_crash(std::uint64_t segment, const segment_crash& crash, time_point now);
    /// Removes the crashes up to the last answer.
    static void remove_refuted(segment_state& state);
    void remove_expired(time_point now);
    /// Leaves the evidence that is reported this time.
    void select_reported(std::vector<segment_evidence>& evidence);

    quarantine_rule m_rule;
    state_map m_segments;
    bool m_is_active = false;
    /// Position of the next evidence that is reported in turn.
    std::size_t m_next_in_turn = 0;
};

} // namespace eelgrassdoor::routing
