/// \file
/// Defines how a request is forwarded to a target and retried on others.
#pragma once

#include "base/error.hpp"
#include "service/daemon_context.hpp"
#include "service/target_service.hpp"
#include "target/exchange.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassdoor::front {

/// An admitted request to forward.
struct forward_request {
    std::string request_id;
    /// What the target must serve, and until when the request may queue for one.
    service::target_lease_request lease_request;
    /// The request as sent to every target, without the headers that identify an attempt.
    target::target_request outgoing;
    /// Whether the request may be retried when a failed attempt may have run.
    bool idempotent = false;
    /// Until when a target may begin its response.
    time_point deadline;
    /// How long one target may take to begin its response before the attempt fails.
    duration first_byte_timeout;
};

/// A response that has begun. Occupies the target's slot until it is destroyed.
struct forwarded_response {
    std::string attempt_id;
    service::target_lease lease;
    std::unique_ptr<target::exchange> exchange;
    target::response_head head;
};

/// Forwards requests to targets. Thread-safe.
class forwarder {
public:
    /// Inspects a response that has begun. An error fails the attempt as a broken connection does.
    using response_check = std::function<result<void>(forwarded_response&)>;

    forwarder(service::daemon_context& context, service::target_service& targets)
        : m_context(context), m_targets(targets) {}

    /// Forwards the request until \p check accepts a response, in at most four attempts. Retries on
    /// another target only when the failed attempt did not run or the request is idempotent, and
    /// only within the retry budget and the deadline. The error's run state covers all attempts.
    result<forwarded_response> forward(forward_request request, const response_check& check);

private:
    /// Makes one attempt. \p target_name is set as soon as a target has been chosen.
    result<forwarded_response> attempt(const forward_request& request, int attempt_number,
                                       const response_check& check, std::string& target_name);
    /// Takes a retry from the fleet-wide budget when \p failure permits one.
    bool may_retry(const forward_request& request, const error& failure);

    service::daemon_context& m_context;
    service::target_service& m_targets;
};

} // namespace eelgrassdoor::front
