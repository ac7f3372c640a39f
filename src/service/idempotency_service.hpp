/// \file
/// Defines the service that runs a non-idempotent call at most once, even if it is sent again.
#pragma once

#include "base/error.hpp"
#include "service/daemon_context.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace eelgrassdoor::service {

/// The response to a call, as stored and replayed.
struct stored_response {
    int status = 0;
    std::string content_type;
    std::string body;
};

/// A call with an idempotency key, which may run at most once.
struct keyed_call {
    std::string_view customer;
    std::string_view route;
    std::string_view idempotency_key;
    /// The content by which a different call under the same key is detected.
    std::string_view request;
    /// The longest time the call may run. After it, the outcome of a call without a stored
    /// response is unknown.
    duration max_run_time{};
};

/// The exclusive right to run a call, backed by its record in the key-value service.
struct call_claim {
    std::string key;
    /// Random value that identifies the claiming call.
    std::string token;
    std::string request_digest;
    /// When the call must have ended, in Unix milliseconds by the claiming host's clock.
    std::int64_t served_until_ms = 0;
};

/// Keeps one record per call in the key-value service, created before the call is sent to a
/// target. Thread-safe.
class idempotency_service {
public:
    explicit idempotency_service(daemon_context& context) : m_context(context) {}

    /// Claims the call, or returns the stored response of an earlier one. Fails with
    /// - error_code::conflict when the key was used for a different request, or the call has run
    ///   and its response was too long (over 256 KiB) to be stored;
    /// - error_code::in_progress and a retry-after time while an earlier send may still run;
    /// - error_code::outcome_unknown when the outcome of an earlier send is unknown;
    /// - error_code::unavailable and run_state::not_run when the record cannot be written or read.
    result<std::variant<call_claim, stored_response>> begin(const keyed_call& call);
    /// Stores the response for repeated calls. When that fails three times, the outcome of the
    /// call is unknown to them.
    void finish(const call_claim& claim, const stored_response& response);
    /// Removes the claim of a call that was not sent to a target, so that it may be sent again.
    void abandon(const call_claim& claim);

private:
    daemon_context& m_context;
};

} // namespace eelgrassdoor::service
