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
struct stored_answer {
    int status = 0;
    std::string content_type;
    std::string body;
};

/// A call that is to run at most once.
struct once_call {
    std::string_view customer;
    std::string_view route;
    std::string_view idempotency_key;
    /// All that distinguishes it from another call under the same key.
    std::string_view request;
    /// How long it may be served: afterwards a claim without an answer has no known outcome.
    duration may_run_for{};
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
class once_service {
public:
    explicit once_service(runtime& shared) : m_shared(shared) {}

    /// Claims the call, or returns the answer of an earlier one. Fails with error_code::conflict
    /// when the key was used for another request, with error_code::in_progress and a time to come
    /// back while an earlier send may still be served, with error_code::outcome_unknown when it has
    /// no known outcome, and with run_state::not_run when the claim cannot be made.
    result<std::variant<call_claim, stored_answer>> begin(const once_call& call);
    /// Stores the answer for later resends.
    void finish(const call_claim& claim, const stored_answer& answer);
    /// Gives the claim up: nothing was sent.
    void abandon(const call_claim& claim);

private:
    runtime& m_shared;
};

} // namespace eelgrassdoor::service
