/// \file
/// Defines the observation of targets that crash on a prompt.
#pragma once

#include "routing/fleet_target.hpp"
#include "serving/service_context.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace eelgrassdoor::serving {

/// What a crash of a target may be due to.
struct crash_suspects {
    /// The hashes of the segments of the prompt that requests can share: all but the last.
    std::vector<std::uint64_t> segments;
    /// The fingerprint of the whole request; nothing for batch items, which do not crash targets by
    /// themselves.
    std::optional<std::uint64_t> request;
};

/// Which requests a quarantine holds back.
enum class gate_kind : std::uint8_t {
    /// None: the request is sent on trial.
    open,
    /// Callers' requests, for the whole quarantine.
    request,
    /// Batch items, for a while after the last crash.
    item,
};

/// What is looked at right before a request is sent. The quarantine may have begun while its target
/// was being connected to.
struct quarantine_gate {
    gate_kind kind = gate_kind::open;
    crash_suspects suspects;
};

/// The suspects of a prompt alone.
crash_suspects suspects_of(std::span<const prompt_segment> prompt);
/// The suspects of a request of \p customer. Requests with the same path, customer and body have
/// the same fingerprint, whatever their ids.
crash_suspects suspects_of(const caller_request& request, std::string_view customer);

/// Starts to check whether \p target has ended, because it closed the connection of a request
/// before it answered. If it refuses connections, the crash counts as evidence against the request.
/// It counts against the segments only if it is the request's first one: a second target shows that
/// the request itself is the more likely cause. A target that only reset the connection counts as
/// no evidence, nor does one that refuses connections while this host reaches no other target.
void check_for_crash(service_context& context, const routing::fleet_target& target,
                     crash_suspects suspects);

/// Records that a target goes on answering a request.
void record_served(service_context& context, const crash_suspects& suspects);

/// Whether \p why means that a target that had the request closed the connection, as opposed to an
/// expired deadline or a request that was not sent.
[[nodiscard]] bool is_closed_by_target(const error& why);

/// Whether any segment or request has been in quarantine; false allows callers to skip
/// quarantine_error().
[[nodiscard]] bool has_quarantine(const service_context& context);
/// The error for a request that is in quarantine itself or by a segment of its prompt; nothing if
/// it is not.
[[nodiscard]] std::optional<error> quarantine_error(const service_context& context,
                                                    const crash_suspects& suspects);
/// The same as far as \p gate holds requests back.
[[nodiscard]] std::optional<error> quarantine_error(const service_context& context,
                                                    const quarantine_gate& gate);
/// Whether this daemon may send a request in quarantine on trial, to find out whether targets still
/// crash on it. For each suspect one daemon of those that are heard does so.
[[nodiscard]] bool may_try(const service_context& context, const crash_suspects& suspects);
/// Records that such a request is sent on trial. Returns false, and records nothing, when that is
/// not allowed any more.
bool begin_trial(service_context& context, const crash_suspects& suspects);

} // namespace eelgrassdoor::serving
