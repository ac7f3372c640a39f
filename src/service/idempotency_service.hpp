/// \file
/// Defines the service that makes a resent non-idempotent call run at most once.
#pragma once

#include "base/error.hpp"
#include "service/daemon_context.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace eelgrassdoor::service {

/// The answer of a call that ran, as it is stored and replayed.
struct stored_response {
    int status = 0;
    std::string content_type;
    std::string body;
};

/// A call that is to run at most once.
struct keyed_call {
    std::string_view customer;
    std::string_view route;
    std::string_view idempotency_key;
    /// All that distinguishes it from another call under the same key.
    std::string_view request;
    /// How long it may be served: afterwards a claim without an answer has no known outcome.
    duration max_run_time{};
};

/// The right to send a call once.
struct call_claim {
    std::string key;
    std::string token;
    std::string request_digest;
    /// Until when the call may be served, in Unix milliseconds of the claiming host's clock.
    std::int64_t served_until_ms = 0;
};

/// Keeps one record for each call in the key-value service, created before the call is sent.
/// Thread-safe.
class idempotency_service {
public:
    explicit idempotency_service(daemon_context& context) : m_context(context) {}

    /// Claims the call, or returns the answer of an earlier one. Fails with error_code::conflict
    /// when the key was used for another request, with error_code::in_progress and a time to come
    /// back while an earlier send may still be served, with error_code::outcome_unknown when it has
    /// no known outcome, and with run_state::not_run when the claim cannot be made.
    result<std::variant<call_claim, stored_response>> begin(const keyed_call& call);
    /// Stores the answer for later resends.
    void finish(const call_claim& claim, const stored_response& response);
    /// Gives the claim up: nothing was sent.
    void abandon(const call_claim& claim);

private:
    daemon_context& m_context;
};

} // namespace eelgrassdoor::service
