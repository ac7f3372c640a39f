/// \file
/// Defines how a request is sent to a target, and when it is sent to another one.
#pragma once

#include "base/error.hpp"
#include "service/daemon_context.hpp"
#include "service/target_service.hpp"
#include "target/exchange.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassdoor::front {

/// A request that has been admitted.
struct forward_request {
    std::string request_id;
    service::place_request wanted;
    target::target_request to_send;
    /// Whether it may be sent again after an unclear failure.
    bool idempotent = false;
    time_point deadline;
    /// How long a target may take to its first byte before another one is tried.
    duration first_byte_timeout;
};

/// An answer that has begun. Keeps the target's place while it is read.
struct forwarded {
    std::string attempt_id;
    service::place place;
    std::unique_ptr<target::exchange> answer;
    target::answer_head head;
};

/// Sends requests. Thread-safe.
class forwarder {
public:
    /// Looks at an answer that has begun; an error makes the attempt fail like a broken connection.
    using answer_check = std::function<result<void>(forwarded&)>;

    forwarder(service::runtime& shared, service::target_service& targets)
        : m_shared(shared), m_targets(targets) {}

    /// Sends the request until \p check accepts an answer. Another target is tried only when
    /// nothing was sent or the request is idempotent, within the retry budget and the deadline.
    result<forwarded> forward(forward_request request, const answer_check& check);

private:
    result<forwarded> attempt(const forward_request& request, int number, const answer_check& check,
                              std::string& target_name);
    bool may_retry(const forward_request& request, const error& failure);

    service::runtime& m_shared;
    service::target_service& m_targets;
};

} // namespace eelgrassdoor::front
