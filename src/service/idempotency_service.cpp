#include "service/idempotency_service.hpp"

#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::service {

namespace {

using nlohmann::json;

constexpr std::string_view claim_key_prefix = "/eelgrassdoor/once/";
constexpr int claim_token_bytes = 12;
constexpr std::size_t max_stored_body_bytes = 256U << 10U;
constexpr int max_store_attempts = 3;
/// Retry-after time given to a caller whose call is still in progress: short compared with the
/// timeouts of routes, long compared with the time of one read of the record.
constexpr duration in_progress_retry_after = seconds(2);

json claim_json(const call_claim& claim) {
    return {{"token", claim.token},
            {"request", claim.request_digest},
            {"served_until_ms", claim.served_until_ms}};
}

std::string claim_token_of(std::string_view text) {
    const json value = json::parse(text, nullptr, false);
    return value.is_object() ? value.value("token", "") : std::string();
}

/// The response to a repeated call, by the existing record: the stored response or an error.
result<std::variant<call_claim, stored_response>>
interpret_existing(const std::string& text, std::string_view request_digest) {
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || value.value("request", "") != request_digest) {
        return error{error_code::conflict,
                     "the Idempotency-Key was already used for a different request",
                     run_state::not_run};
    }
    if (!value.contains("status") &&
        wall_clock_ms() < value.value("served_until_ms", std::int64_t{0})) {
        return error{error_code::in_progress,
                     "the same call is still in progress; send it again later to get its response",
                     run_state::unknown, in_progress_retry_after};
    }
    if (!value.contains("status")) {
        return error{error_code::outcome_unknown,
                     "the same call was sent before and its outcome is unknown",
                     run_state::unknown};
    }
    if (value.value("too_long", false)) {
        return error{error_code::conflict,
                     "the call has already run; its response was too long to be stored",
                     run_state::ran};
    }
    return stored_response{value["status"], value.value("content_type", ""),
                           from_base64(value.value("body", ""))};
}

} // namespace

result<std::variant<call_claim, stored_response>>
idempotency_service::begin(const keyed_call& call) {
    const std::string call_digest =
        sha256_hex(json::array({call.customer, call.route, call.idempotency_key})
                       .dump(-1, ' ', false, json::error_handler_t::replace));
    const auto max_run_time = std::chrono::duration_cast<milliseconds>(call.max_run_time);
    const call_claim claim{str_cat(claim_key_prefix, call_digest),
                           secure_random_hex(claim_token_bytes), sha256_hex(call.request),
                           wall_clock_ms() + max_run_time.count()};
    const auto is_own_write = [&claim](std::string_view found) {
        return claim_token_of(found) == claim.token;
    };
    const result<platform::swap_outcome> outcome =
        m_context.kv.compare_and_swap(claim.key, 0, claim_json(claim).dump(), is_own_write);
    if (!outcome) {
        // Whether or not the record was created, nothing has been sent to a target.
        return error{error_code::unavailable,
                     str_cat("the idempotency record of the call cannot be written: ",
                             outcome.error().message),
                     run_state::not_run, seconds(2)};
    }
    if (outcome.value() == platform::swap_outcome::written) {
        return claim;
    }
    const result<platform::kv_value> existing = m_context.kv.get(claim.key);
    if (!existing || existing.value().revision == 0) {
        return error{error_code::unavailable, "the idempotency record of the call cannot be read",
                     run_state::not_run, seconds(1)};
    }
    return interpret_existing(existing.value().value, claim.request_digest);
}

void idempotency_service::finish(const call_claim& claim, const stored_response& response) {
    json value = claim_json(claim);
    value["status"] = response.status;
    value["content_type"] = response.content_type;
    if (response.body.size() > max_stored_body_bytes) {
        value["too_long"] = true;
    } else {
        value["body"] = to_base64(response.body);
    }
    const std::string text = value.dump();
    for (int i = 0; i < max_store_attempts; ++i) {
        const result<platform::kv_value> current = m_context.kv.get(claim.key);
        if (!current) {
            continue;
        }
        const auto is_own_write = [&text](std::string_view found) { return found == text; };
        if (m_context.kv.compare_and_swap(claim.key, current.value().revision, text,
                                          is_own_write)) {
            return;
        }
    }
}

void idempotency_service::abandon(const call_claim& claim) {
    const result<platform::kv_value> current = m_context.kv.get(claim.key);
    if (current && claim_token_of(current.value().value) == claim.token) {
        (void)m_context.kv.remove(claim.key, current.value().revision);
    }
}

} // namespace eelgrassdoor::service
