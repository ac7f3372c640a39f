#include "serving/crash_detector.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "net/http_client.hpp"

namespace eelgrassdoor::serving {

namespace {

/// Timeout for the connection that shows whether a target is still there. One that vanished without
/// refusing it, for instance in a network partition, gives no evidence.
constexpr duration check_timeout = milliseconds(75);

std::string describe(std::span<const std::uint64_t> segments) {
    std::string out;
    for (const std::uint64_t segment : segments) {
        out += (out.empty() ? "" : ",") + std::to_string(segment);
    }
    return out;
}

net::task<> run_check(service_context& context, routing::fleet_target target,
                      std::vector<std::uint64_t> segments) {
    const auto connection = co_await net::http_client::connect(context.executor, target.endpoint,
                                                               context.clock() + check_timeout);
    if (connection) {
        connection.value()->close();
        co_return;
    }
    if (connection.error().code == error_code::deadline_exceeded) {
        co_return;
    }
    const std::uint64_t instance =
        stable_hash(str_cat(target.id, "/", std::to_string(target.started_at)));
    if (context.quarantine.record_crash(segments, instance, context.clock())) {
        context.log.write(
            observe::event::segment_suspected, target.id,
            {{"segment", describe(segments)}, {"reason", connection.error().message}});
        if (context.quarantine.time_left(segments, context.clock())) {
            context.log.write(observe::event::segment_quarantined, target.id,
                              {{"segment", describe(segments)}});
        }
        context.messenger.schedule_digest();
    }
}

} // namespace

std::vector<std::uint64_t> shared_segments(std::span<const prompt_segment> prompt) {
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        out.push_back(stable_hash(prompt[i].id));
    }
    return out;
}

void check_for_crash(service_context& context, const routing::fleet_target& target,
                     std::vector<std::uint64_t> segments) {
    if (!segments.empty()) {
        net::asio::co_spawn(context.executor, run_check(context, target, std::move(segments)),
                            net::asio::detached);
    }
}

void record_segments_served(service_context& context, std::span<const std::uint64_t> segments) {
    if (context.quarantine.record_served(segments, context.clock())) {
        context.messenger.schedule_digest();
    }
}

bool is_closed_by_target(const error& why) {
    return why.run != run_state::not_run && why.code != error_code::deadline_exceeded;
}

std::optional<error> quarantine_error(const service_context& context,
                                      std::span<const std::uint64_t> segments) {
    if (!context.quarantine.is_active()) {
        return std::nullopt;
    }
    const std::optional<duration> left = context.quarantine.time_left(segments, context.clock());
    if (!left) {
        return std::nullopt;
    }
    return error{error_code::unavailable, "targets crash on a segment of the prompt",
                 run_state::not_run, *left};
}

} // namespace eelgrassdoor::serving
