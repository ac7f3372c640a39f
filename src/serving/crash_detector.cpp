#include "serving/crash_detector.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "serving/target_connection.hpp"

namespace eelgrassdoor::serving {

namespace {

/// Timeout for the connection that shows whether a target is still there. One that vanished without
/// refusing it, for instance in a network partition, gives no evidence.
constexpr duration check_timeout = milliseconds(75);
/// A daemon that was not heard for this long sends no request on trial. Twice the interval at which
/// unchanged digests are repeated.
constexpr duration peer_silence_timeout = milliseconds(1000);
/// How long after the last crash on a segment of its prompt an item waits. It is tried again then,
/// as it must end in a result; callers' requests stay in quarantine longer.
constexpr duration max_item_delay = seconds(5);
/// Number of other targets that are tried when one refuses connections.
constexpr std::size_t max_control_targets = 3;

std::string describe(std::span<const std::uint64_t> segments) {
    std::string out;
    for (const std::uint64_t segment : segments) {
        out += (out.empty() ? "" : ",") + std::to_string(segment);
    }
    return out;
}

/// Logs new evidence, and the quarantine if it suffices.
void report(service_context& context, const std::string& target, std::string_view kind,
            const routing::prompt_quarantine& quarantine, std::span<const std::uint64_t> suspected,
            const std::string& reason) {
    context.log.write(
        observe::event::segment_suspected, target,
        {{"kind", std::string(kind)}, {"segment", describe(suspected)}, {"reason", reason}});
    if (quarantine.time_left(suspected, context.clock())) {
        context.log.write(observe::event::segment_quarantined, target,
                          {{"kind", std::string(kind)}, {"segment", describe(suspected)}});
    }
    context.messenger.schedule_digest();
}

/// Counts the end of the target start \p instance against the suspects.
void record_crash(service_context& context, const std::string& target, std::uint64_t instance,
                  const crash_suspects& suspects, const std::string& reason) {
    const time_point now = context.clock();
    bool is_first = true;
    if (suspects.request) {
        const std::span<const std::uint64_t> request(&*suspects.request, 1);
        is_first = !context.request_quarantine.is_suspected(*suspects.request);
        if (context.request_quarantine.record_crash(request, instance, now)) {
            report(context, target, "request", context.request_quarantine, request, reason);
        }
    }
    if (is_first && context.quarantine.record_crash(suspects.segments, instance, now)) {
        report(context, target, "segment", context.quarantine, suspects.segments, reason);
    }
}

/// Whether this daemon is the one, of those that serve callers and are heard, that sends requests
/// with \p suspect on trial.
bool is_trial_host(const service_context& context, std::uint64_t suspect) {
    const std::string& self = context.messenger.self();
    const std::uint64_t own_weight = rendezvous_weight(suspect, self);
    for (const auto& [host, each] : context.messenger.active_members()) {
        const bool is_candidate = host != self && each.serves_callers &&
                                  context.messenger.heard_within(host, peer_silence_timeout);
        if (is_candidate && rendezvous_weight(suspect, host) > own_weight) {
            return false;
        }
    }
    return true;
}

/// Whether a target that refuses connections has ended, as opposed to being cut off from this host
/// along with all others: whether one of a few others can be reached.
net::task<bool> is_check_reliable(service_context& context, std::string target) {
    const std::vector<routing::fleet_target> others =
        context.loads.draw_others(target, max_control_targets, context.random);
    // With few targets, a request that crashes them may have ended all others.
    if (others.size() < max_control_targets) {
        co_return true;
    }
    for (const routing::fleet_target& each : others) {
        const time_point connect_by = context.clock() + check_timeout;
        const auto connection =
            co_await connect_to_target(context, each.id, each.endpoint, connect_by);
        if (connection) {
            connection.value()->close();
            co_return true;
        }
    }
    co_return false;
}

net::task<> run_check(service_context& context, routing::fleet_target target,
                      crash_suspects suspects) {
    const time_point check_by = context.clock() + check_timeout;
    const auto connection =
        co_await connect_to_target(context, target.id, target.endpoint, check_by);
    if (connection) {
        connection.value()->close();
        co_return;
    }
    if (connection.error().code == error_code::deadline_exceeded) {
        co_return;
    }
    const bool is_reliable = co_await is_check_reliable(context, target.id);
    if (!is_reliable) {
        context.log.write(observe::event::crash_check_inconclusive, target.id,
                          {{"reason", connection.error().message}});
        co_return;
    }
    const std::uint64_t instance =
        stable_hash(str_cat(target.id, "/", std::to_string(target.started_at)));
    record_crash(context, target.id, instance, suspects, connection.error().message);
}

} // namespace

crash_suspects suspects_of(std::span<const prompt_segment> prompt) {
    crash_suspects out;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        out.segments.push_back(stable_hash(prompt[i].id));
    }
    return out;
}

crash_suspects suspects_of(const caller_request& request, std::string_view customer) {
    crash_suspects out = suspects_of(request.prompt);
    // No header value contains a line feed.
    out.request = stable_hash(str_cat(request.host, "\n", request.content.target, "\n", customer,
                                      "\n", request.content.body));
    return out;
}

void check_for_crash(service_context& context, const routing::fleet_target& target,
                     crash_suspects suspects) {
    if (!suspects.segments.empty() || suspects.request) {
        net::asio::co_spawn(context.executor, run_check(context, target, std::move(suspects)),
                            net::asio::detached);
    }
}

void record_served(service_context& context, const crash_suspects& suspects) {
    const time_point now = context.clock();
    bool was_suspected = context.quarantine.record_served(suspects.segments, now);
    // Requests that no target has crashed on are not kept.
    if (suspects.request && context.request_quarantine.is_suspected(*suspects.request)) {
        context.request_quarantine.record_served({&*suspects.request, 1}, now);
        was_suspected = true;
    }
    if (was_suspected) {
        context.messenger.schedule_digest();
    }
}

bool is_closed_by_target(const error& why) {
    return why.run != run_state::not_run && why.code != error_code::deadline_exceeded;
}

bool has_quarantine(const service_context& context) {
    return context.quarantine.is_active() || context.request_quarantine.is_active();
}

std::optional<error> quarantine_error(const service_context& context,
                                      const crash_suspects& suspects) {
    const time_point now = context.clock();
    if (suspects.request) {
        if (const auto left = context.request_quarantine.time_left({&*suspects.request, 1}, now)) {
            return error{error_code::unavailable, "targets crash on the request",
                         run_state::not_run, *left};
        }
    }
    if (const auto left = context.quarantine.time_left(suspects.segments, now)) {
        return error{error_code::unavailable, "targets crash on a segment of the prompt",
                     run_state::not_run, *left};
    }
    return std::nullopt;
}

std::optional<error> quarantine_error(const service_context& context, const quarantine_gate& gate) {
    if (gate.kind == gate_kind::open) {
        return std::nullopt;
    }
    std::optional<error> found = quarantine_error(context, gate.suspects);
    const duration item_end = routing::prompt_quarantine::quarantine_time - max_item_delay;
    if (found && gate.kind == gate_kind::item && found->retry_after <= item_end) {
        return std::nullopt;
    }
    return found;
}

bool may_try(const service_context& context, const crash_suspects& suspects) {
    const time_point now = context.clock();
    const std::span<const std::uint64_t> request(suspects.request ? &*suspects.request : nullptr,
                                                 suspects.request ? 1 : 0);
    if (!context.request_quarantine.may_try(request, now) ||
        !context.quarantine.may_try(suspects.segments, now)) {
        return false;
    }
    std::optional<std::uint64_t> suspect =
        context.request_quarantine.find_quarantined(request, now);
    if (!suspect) {
        suspect = context.quarantine.find_quarantined(suspects.segments, now);
    }
    return suspect && is_trial_host(context, *suspect);
}

bool begin_trial(service_context& context, const crash_suspects& suspects) {
    if (!may_try(context, suspects)) {
        return false;
    }
    const time_point now = context.clock();
    if (suspects.request) {
        context.request_quarantine.record_trial({&*suspects.request, 1}, now);
    }
    context.quarantine.record_trial(suspects.segments, now);
    context.metrics.count("quarantine_trials_total");
    return true;
}

} // namespace eelgrassdoor::serving
