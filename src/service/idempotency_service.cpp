#include "base/digest.hpp"
#include "base/random_source.hpp"
#include "base/text.hpp"
#include "service/idempotency_service.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::service {

namespace {

using nlohmann::json;

constexpr std::string_view once_prefix = "/eelgrassdoor/once/";
constexpr int token_bytes = 12;
constexpr std::size_t max_stored_body_bytes = 256U << 10U;
constexpr int finish_attempts = 3;
/// When a caller whose call is still being served may ask for its answer again. Short against the
/// timeouts of routes, long against the time of one look at the claim.
constexpr duration running_retry = seconds(2);

json claim_json(const call_claim& claim) {
    return {{"token", claim.token},
            {"request", claim.request_digest},
            {"served_until_ms", claim.served_until_ms}};
}

std::string token_of(std::string_view text) {
    const json value = json::parse(text, nullptr, false);
    return value.is_object() ? value.value("token", "") : std::string();
}

/// What an existing record means for the same call sent again.
result<std::variant<call_claim, stored_answer>> read_earlier(const std::string& text,
                                                             std::string_view request_digest) {
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || value.value("request", "") != request_digest) {
        return error{error_code::conflict,
                     "the Idempotency-Key was used for another request before", run_state::not_run};
    }
    if (!value.contains("status") &&
        wall_clock_ms() < value.value("served_until_ms", std::int64_t{0})) {
        return error{error_code::in_progress,
                     "the call was sent before and is still being served; ask again for its answer",
                     run_state::unknown, running_retry};
    }
    if (!value.contains("status")) {
        return error{error_code::outcome_unknown,
                     "the call was sent before and its outcome is unknown", run_state::unknown};
    }
    if (value.value("too_long", false)) {
        return error{error_code::conflict, "the call ran before; its answer was too long to keep",
                     run_state::ran};
    }
    return stored_answer{value["status"], value.value("content_type", ""),
                         from_base64(value.value("body", ""))};
}

} // namespace

result<std::variant<call_claim, stored_answer>> once_service::begin(const once_call& call) {
    const std::string name =
        sha256_hex(json::array({call.customer, call.route, call.idempotency_key})
                       .dump(-1, ' ', false, json::error_handler_t::replace));
    const auto may_run_for = std::chrono::duration_cast<milliseconds>(call.may_run_for);
    const call_claim claim{str_cat(once_prefix, name), secure_hex(token_bytes),
                           sha256_hex(call.request), wall_clock_ms() + may_run_for.count()};
    const auto ours = [&claim](std::string_view found) { return token_of(found) == claim.token; };
    const result<platform::swap_outcome> outcome =
        m_shared.kv.swap(claim.key, 0, claim_json(claim).dump(), ours);
    if (!outcome) {
        // Nothing was sent to a target, whatever became of the claim.
        return error{error_code::unavailable,
                     str_cat("the call cannot be claimed: ", outcome.error().message),
                     run_state::not_run, seconds(2)};
    }
    if (outcome.value() == platform::swap_outcome::written) {
        return claim;
    }
    const result<platform::kv_value> earlier = m_shared.kv.get(claim.key);
    if (!earlier || earlier.value().revision == 0) {
        return error{error_code::unavailable, "the claim of the call cannot be read",
                     run_state::not_run, seconds(1)};
    }
    return read_earlier(earlier.value().value, claim.request_digest);
}

void once_service::finish(const call_claim& claim, const stored_answer& answer) {
    json value = claim_json(claim);
    value["status"] = answer.status;
    value["content_type"] = answer.content_type;
    if (answer.body.size() > max_stored_body_bytes) {
        value["too_long"] = true;
    } else {
        value["body"] = to_base64(answer.body);
    }
    const std::string text = value.dump();
    for (int i = 0; i < finish_attempts; ++i) {
        const result<platform::kv_value> current = m_shared.kv.get(claim.key);
        if (!current) {
            continue;
        }
        const auto ours = [&text](std::string_view found) { return found == text; };
        if (m_shared.kv.swap(claim.key, current.value().revision, text, ours)) {
            return;
        }
    }
}

void once_service::abandon(const call_claim& claim) {
    const result<platform::kv_value> current = m_shared.kv.get(claim.key);
    if (current && token_of(current.value().value) == claim.token) {
        (void)m_shared.kv.remove(claim.key, current.value().revision);
    }
}

} // namespace eelgrassdoor::service
