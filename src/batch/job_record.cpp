#include "batch/job_record.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::batch {

NLOHMANN_JSON_SERIALIZE_ENUM(job_state, {{job_state::running, "running"},
                                         {job_state::cancelling, "cancelling"},
                                         {job_state::cancelled, "cancelled"},
                                         {job_state::finished, "finished"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(committed_segment, epoch, bytes)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_record, job, customer, body_digest, storage, item_count,
                                   item_bytes, copies, state, epoch, owner, owner_incarnation,
                                   segments, done, failed, due_s, spent_s)

namespace {

constexpr std::size_t id_length = 32;

} // namespace

std::string_view to_string(job_state state) {
    switch (state) {
    case job_state::running:
        return "running";
    case job_state::cancelling:
        return "cancelling";
    case job_state::cancelled:
        return "cancelled";
    case job_state::finished:
        return "finished";
    }
    return "running";
}

std::string to_json(const job_record& record) {
    return nlohmann::json(record).dump();
}

std::optional<job_record> job_record_from_json(std::string_view text) {
    try {
        return nlohmann::json::parse(text).get<job_record>();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string job_id(std::string_view customer, std::string_view idempotency_key,
                   std::string_view body_digest) {
    const bool has_key = !idempotency_key.empty();
    const std::string identity =
        nlohmann::json::array(
            {customer, has_key ? "key" : "body", has_key ? idempotency_key : body_digest})
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return str_cat("job-", std::string_view(sha256_hex(identity)).substr(0, id_length));
}

std::string job_key(std::string_view job) {
    return str_cat("/eelgrassdoor/jobs/", job);
}

std::string segment_file(std::uint64_t epoch) {
    return str_cat("results-", epoch);
}

} // namespace eelgrassdoor::batch
