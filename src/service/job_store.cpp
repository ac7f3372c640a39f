#include "service/job_store.hpp"

#include "base/text.hpp"
#include "spool/segment.hpp"

namespace eelgrassdoor::service {

namespace {

/// Larger than the largest record, so that every chunk contains at least one whole record.
constexpr std::uint64_t read_chunk_bytes = 4U << 20U;
constexpr int max_cancel_attempts = 20;

error not_found(std::string_view job) {
    return {error_code::not_found, str_cat("job \"", job, "\" does not exist"), run_state::not_run};
}

} // namespace

result<stored_job> job_store::load(std::string_view job) {
    BOOST_OUTCOME_TRY(value, m_context.kv.get(batch::job_key(job)));
    if (value.revision == 0) {
        return not_found(job);
    }
    std::optional<batch::job_record> record = batch::job_record_from_json(value.value);
    if (!record) {
        return error{error_code::internal,
                     str_cat("the record of job \"", job, "\" cannot be read")};
    }
    return stored_job{*std::move(record), value.revision};
}

result<stored_job> job_store::create(const batch::job_record& record) {
    const auto is_own_write = [&record](std::string_view found) {
        const auto read = batch::job_record_from_json(found);
        return read && read->storage == record.storage;
    };
    BOOST_OUTCOME_TRY(m_context.kv.compare_and_swap(batch::job_key(record.job), 0,
                                                    batch::to_json(record), is_own_write));
    const result<stored_job> created = load(record.job);
    if (!created) {
        // The job exists, created by this call or by an earlier one.
        return error{error_code::outcome_unknown,
                     str_cat("the job may have been accepted: ", created.error().message),
                     run_state::unknown, seconds(1)};
    }
    return created;
}

result<platform::swap_outcome> job_store::save(stored_job& job, const batch::job_record& next) {
    const std::string text = batch::to_json(next);
    const auto is_own_write = [&text](std::string_view found) { return found == text; };
    const std::string key = batch::job_key(next.job);
    BOOST_OUTCOME_TRY(outcome,
                      m_context.kv.compare_and_swap(key, job.revision, text, is_own_write));
    if (outcome == platform::swap_outcome::conflict) {
        return outcome;
    }
    const result<platform::kv_value> stored_now = m_context.kv.get(key);
    if (!stored_now) {
        return error{error_code::outcome_unknown, stored_now.error().message, run_state::unknown};
    }
    if (stored_now.value().value != text) {
        return platform::swap_outcome::conflict;
    }
    job.record = next;
    job.revision = stored_now.value().revision;
    return outcome;
}

result<batch::job_record> job_store::cancel(std::string_view job) {
    for (int i = 0; i < max_cancel_attempts; ++i) {
        BOOST_OUTCOME_TRY(current, load(job));
        if (current.record.state != batch::job_state::running) {
            return current.record;
        }
        batch::job_record next = current.record;
        next.state = batch::job_state::cancelling;
        BOOST_OUTCOME_TRY(outcome, save(current, next));
        if (outcome == platform::swap_outcome::written) {
            return next;
        }
    }
    return error{error_code::overloaded, "the job's record changes too often to be cancelled now",
                 run_state::not_run, seconds(1)};
}

result<std::string> job_store::read_chunk(const batch::job_record& record,
                                          const batch::committed_segment& segment,
                                          std::uint64_t offset) {
    const std::uint64_t length = std::min(read_chunk_bytes, segment.bytes - offset);
    for (const std::string& host : record.copies) {
        result<std::string> chunk =
            m_copies.read(host, record.storage, batch::segment_file(segment.epoch), offset, length);
        // Both copies hold the same bytes, so each chunk may come from either. A record at the end
        // of a chunk may be incomplete; the next chunk starts with it. A chunk without any whole
        // record is damaged.
        const bool has_whole_record =
            chunk && !chunk.value().empty() &&
            spool::read_records(chunk.value(), [](std::string_view) {}) > 0;
        if (has_whole_record) {
            return std::move(chunk.value());
        }
    }
    return error{error_code::unavailable,
                 str_cat("no copy of the results of job \"", record.job, "\" can be read now"),
                 run_state::not_run, seconds(5)};
}

result<void> job_store::read_segment(const batch::job_record& record,
                                     const batch::committed_segment& segment,
                                     const std::function<bool(const batch::item_entry&)>& each) {
    std::uint64_t offset = 0;
    bool keep_reading = true;
    while (offset < segment.bytes && keep_reading) {
        BOOST_OUTCOME_TRY(chunk, read_chunk(record, segment, offset));
        offset += spool::read_records(chunk, [&](std::string_view payload) {
            const auto entry = batch::decode_entry(payload);
            keep_reading = keep_reading && entry && each(*entry);
        });
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_store::read_entries(const batch::job_record& record,
                                     const std::function<bool(const batch::item_entry&)>& each) {
    for (const batch::committed_segment& segment : record.segments) {
        BOOST_OUTCOME_TRY(read_segment(record, segment, each));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace eelgrassdoor::service
