#include "base/text.hpp"
#include "entry/online_proxy.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Limit of targets without a permit that are tried for one attempt.
constexpr int max_denied_permits = 4;

constexpr duration resume_poll_interval = milliseconds(20);

} // namespace

net::task<std::optional<routing::fleet_target>>
online_proxy::pick_target(const running_request& run) {
    for (int denials = 0; denials < max_denied_permits; ++denials) {
        std::optional<routing::fleet_target> target = m_context.loads.pick_online(
            run.service, run.constraints, m_context.clock(), m_context.random);
        if (!target) {
            co_return std::nullopt;
        }
        const bool permitted =
            co_await m_context.messenger.permits().acquire(*target, work_kind::online);
        if (permitted) {
            co_return target;
        }
    }
    co_return std::nullopt;
}

net::task<std::optional<routing::fleet_target>>
online_proxy::wait_for_target(running_request& run) {
    if (m_context.queues_requests) {
        co_return co_await wait_in_queue(run);
    }
    const time_point end = std::min(run.deadline, m_context.clock() + resume_patience);
    std::optional<routing::fleet_target> target = co_await pick_target(run);
    while (!target && run.constraints.version && m_context.clock() < end &&
           !run.caller_exchange.client_disconnected() &&
           m_context.loads.serves(run.service, *run.constraints.version)) {
        co_await net::sleep_for(resume_poll_interval);
        target = co_await pick_target(run);
    }
    co_return target;
}

net::task<bool> online_proxy::find_version(running_request& run) {
    const bool is_begun = run.route.resumable && run.request.resume_after;
    if (!is_begun) {
        co_return true;
    }
    const std::string& attempt = run.request.resumed_attempt;
    if (!attempt.empty()) {
        run.constraints.version =
            co_await m_context.messenger.streams().find(run.customer, attempt);
    }
    if (!run.constraints.version && !run.caller_exchange.client_disconnected()) {
        run.constraints.version = co_await deduce_version(run);
    }
    if (run.caller_exchange.client_disconnected()) {
        log_finished(run, "caller_left");
        co_return false;
    }
    if (run.constraints.version && run.constraints.version != routing::unknown_version) {
        co_return true;
    }
    error unknown{error_code::unavailable,
                  "no daemon knows which software version began the stream", run_state::not_run,
                  seconds(1)};
    co_await respond_with_error(run, std::move(unknown));
    co_return false;
}

net::task<std::optional<std::string>> online_proxy::deduce_version(const running_request& run) {
    fleet::service_versions& versions = m_context.versions;
    const std::optional<routing::version_set> candidates =
        co_await versions.candidates(run.service);
    const bool is_decided = candidates && candidates->size() == 1;
    const std::optional<time_point> synced_at = versions.synced_at();
    m_context.log.write(
        is_decided ? observe::event::stream_version_deduced
                   : observe::event::stream_version_undecided,
        run.request.id,
        {{"candidates", candidates ? str_join(*candidates, ",") : std::string("unknown")},
         {"revision", std::to_string(versions.stored_revision())},
         {"read_ms_ago", synced_at ? std::to_string(to_ms(m_context.clock() - *synced_at))
                                   : std::string("never")}});
    co_return is_decided ? std::optional(*candidates->begin()) : std::nullopt;
}

net::task<> online_proxy::publish_version(const running_request& run) {
    const std::optional<std::string> version = run.active_exchange->software_version();
    if (!run.route.resumable || !version) {
        co_return;
    }
    const bool is_published = co_await m_context.versions.publish(run.service, *version);
    if (!is_published) {
        m_context.log.write(observe::event::stream_version_unpublished, run.request.id,
                            {{"version", *version}});
    }
}

void online_proxy::record_version(running_request& run) const {
    run.constraints.version = run.active_exchange->software_version();
    if (run.route.resumable && !run.request.resume_after) {
        m_context.messenger.streams().record(
            run.customer, run.request.id,
            run.constraints.version.value_or(std::string(routing::unknown_version)));
    }
}

} // namespace eelgrassdoor::entry
