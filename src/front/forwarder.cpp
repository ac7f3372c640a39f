#include "front/forwarder.hpp"

#include "base/text.hpp"
#include "target/response_check.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace eelgrassdoor::front {

namespace {

constexpr int max_attempts = 4;
constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view stamp_header = "X-Causal-Stamp";

error target_rejected() {
    return {error_code::overloaded, "the target rejected the request", run_state::not_run,
            seconds(1)};
}

} // namespace

result<forwarded_response> forwarder::attempt(const forward_request& request, int attempt_number,
                                              const response_check& check,
                                              std::string& target_name) {
    BOOST_OUTCOME_TRY(lease, m_targets.acquire(request.lease_request));
    const routing::picked_target chosen = lease.target();
    target_name = chosen.name;
    const std::string attempt_id = str_cat(request.request_id, "-", attempt_number);
    m_context.events.emit(
        observe::event::target_chosen, request.request_id,
        {{"target", chosen.name}, {"affinity", chosen.prefix_affinity ? "yes" : "no"}});
    if (m_context.drop_list.drops_either_direction(chosen.endpoint)) {
        lease.mark_failed();
        return error{error_code::target_failed, "the target is unreachable", run_state::not_run};
    }
    target::target_request outgoing = request.outgoing;
    outgoing.fresh_connection = !request.idempotent || attempt_number > 1;
    outgoing.headers.emplace_back(request_id_header, attempt_id);
    outgoing.headers.emplace_back(stamp_header, std::to_string(m_context.events.stamp()));
    forwarded_response out{
        attempt_id,
        std::move(lease),
        std::make_unique<target::exchange>(
            m_context.workers, m_targets.client_pool_for(chosen.endpoint), std::move(outgoing)),
        {}};
    const duration time_left = request.deadline - m_context.clock();
    result<target::response_head> response_head =
        out.exchange->wait_for_head(std::min(time_left, request.first_byte_timeout));
    if (!response_head) {
        out.lease.mark_failed();
        return response_head.error();
    }
    out.head = std::move(response_head.value());
    if (target::is_refusal(out.head.status)) {
        return target_rejected();
    }
    const std::string_view echoed = out.head.header(request_id_header);
    if (!echoed.empty() && echoed != attempt_id) {
        out.lease.mark_failed();
        return error{error_code::target_failed, "the target's response belongs to another request",
                     run_state::unknown};
    }
    if (result<void> accepted = check(out); !accepted) {
        out.lease.mark_failed();
        return accepted.error();
    }
    m_context.events.emit(observe::event::target_answered, request.request_id,
                          {{"target", chosen.name}});
    return out;
}

bool forwarder::may_retry(const forward_request& request, const error& failure) {
    const bool safe = request.idempotent || failure.run == run_state::not_run;
    const bool retryable = failure.code == error_code::target_failed ||
                           failure.code == error_code::deadline_exceeded ||
                           failure.code == error_code::overloaded;
    return safe && retryable && m_context.clock() < request.deadline && m_targets.try_retry();
}

result<forwarded_response> forwarder::forward(forward_request request,
                                              const response_check& check) {
    bool may_have_run = false;
    std::optional<error> previous_failure;
    for (int attempt_number = 1;; ++attempt_number) {
        std::string target_name;
        result<forwarded_response> outcome = attempt(request, attempt_number, check, target_name);
        if (outcome) {
            return outcome;
        }
        may_have_run = may_have_run || outcome.error().run != run_state::not_run;
        error failure = outcome.error();
        failure.run = may_have_run ? run_state::unknown : run_state::not_run;
        if (target_name.empty()) {
            // No target was available for a retry: the failure of the previous attempt tells the
            // caller more.
            return previous_failure ? *previous_failure : failure;
        }
        m_context.events.emit(observe::event::target_failed, request.request_id,
                              {{"target", target_name}, {"reason", outcome.error().message}});
        if (attempt_number == max_attempts || !may_retry(request, outcome.error())) {
            return failure;
        }
        previous_failure = failure;
        request.lease_request.excluded.insert(target_name);
        m_context.events.emit(observe::event::request_retried, request.request_id);
        m_context.metrics.count("retries_total");
    }
}

} // namespace eelgrassdoor::front
