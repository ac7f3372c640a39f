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

error target_refusal() {
    return {error_code::overloaded, "the target refused the request", run_state::not_run,
            seconds(1)};
}

} // namespace

result<forwarded> forwarder::attempt(const forward_request& request, int number,
                                     const answer_check& check, std::string& target_name) {
    BOOST_OUTCOME_TRY(place, m_targets.acquire(request.wanted));
    const routing::picked_target chosen = place.target();
    target_name = chosen.name;
    const std::string attempt_id = str_cat(request.request_id, "-", number);
    m_shared.events.emit(
        observe::event::target_chosen, request.request_id,
        {{"target", chosen.name}, {"affinity", chosen.prefix_affinity ? "yes" : "no"}});
    if (m_shared.drops.cuts(chosen.endpoint)) {
        place.mark_failed();
        return error{error_code::target_failed, "the target cannot be reached", run_state::not_run};
    }
    target::target_request to_send = request.to_send;
    to_send.fresh_connection = !request.idempotent || number > 1;
    to_send.headers.emplace_back(request_id_header, attempt_id);
    to_send.headers.emplace_back(stamp_header, std::to_string(m_shared.events.stamp()));
    forwarded out{attempt_id,
                  std::move(place),
                  std::make_unique<target::exchange>(
                      m_shared.workers, m_targets.connections(chosen.endpoint), std::move(to_send)),
                  {}};
    const duration left = request.deadline - m_shared.clock();
    result<target::answer_head> head =
        out.answer->wait_head(std::min(left, request.first_byte_timeout));
    if (!head) {
        out.place.mark_failed();
        return head.error();
    }
    out.head = std::move(head.value());
    if (target::is_refusal(out.head.status)) {
        return target_refusal();
    }
    const std::string_view echoed = out.head.header(request_id_header);
    if (!echoed.empty() && echoed != attempt_id) {
        out.place.mark_failed();
        return error{error_code::target_failed, "the target answered another request",
                     run_state::unknown};
    }
    if (result<void> accepted = check(out); !accepted) {
        out.place.mark_failed();
        return accepted.error();
    }
    m_shared.events.emit(observe::event::target_answered, request.request_id,
                         {{"target", chosen.name}});
    return out;
}

bool forwarder::may_retry(const forward_request& request, const error& failure) {
    const bool safe = request.idempotent || failure.run == run_state::not_run;
    const bool worthwhile = failure.code == error_code::target_failed ||
                            failure.code == error_code::deadline_exceeded ||
                            failure.code == error_code::overloaded;
    return safe && worthwhile && m_shared.clock() < request.deadline && m_targets.try_retry();
}

result<forwarded> forwarder::forward(forward_request request, const answer_check& check) {
    bool may_have_run = false;
    std::optional<error> earlier;
    for (int number = 1;; ++number) {
        std::string target_name;
        result<forwarded> outcome = attempt(request, number, check, target_name);
        if (outcome) {
            return outcome;
        }
        may_have_run = may_have_run || outcome.error().run != run_state::not_run;
        error last = outcome.error();
        last.run = may_have_run ? run_state::unknown : run_state::not_run;
        if (target_name.empty()) {
            // No place for another attempt: what went wrong before tells the caller more.
            return earlier ? *earlier : last;
        }
        m_shared.events.emit(observe::event::target_failed, request.request_id,
                             {{"target", target_name}, {"reason", outcome.error().message}});
        if (number == max_attempts || !may_retry(request, outcome.error())) {
            return last;
        }
        earlier = last;
        request.wanted.excluded.insert(target_name);
        m_shared.events.emit(observe::event::request_retried, request.request_id);
        m_shared.numbers.count("retries_total");
    }
}

} // namespace eelgrassdoor::front
