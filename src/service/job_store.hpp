/// \file
/// Defines how job records are read and written in the key-value service, and how results are read.
#pragma once

#include "batch/item_result.hpp"
#include "batch/job_record.hpp"
#include "service/copy_store.hpp"
#include "service/daemon_context.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrassdoor::service {

/// A job record and its revision in the key-value service, needed to replace it.
struct stored_job {
    batch::job_record record;
    std::int64_t revision = 0;
};

/// Access to the records of all jobs and to their results. All calls block, and fail with
/// error_code::unavailable when the key-value service or both copies are unreachable. Thread-safe.
class job_store {
public:
    job_store(daemon_context& context, copy_store& copies) : m_context(context), m_copies(copies) {}

    /// Reads a record; fails with error_code::not_found when there is none.
    result<stored_job> load(std::string_view job);
    /// Creates the record, or returns the existing one of the same job id. Fails with
    /// error_code::outcome_unknown when the record may have been created.
    result<stored_job> create(const batch::job_record& record);
    /// Replaces the record if it still has the revision in \p job, and updates \p job. Fails with
    /// error_code::outcome_unknown when the record may have been replaced.
    result<platform::swap_outcome> save(stored_job& job, const batch::job_record& next);
    /// Sets a running job to cancelling; returns the resulting record, or the current one when the
    /// job is not running. Fails with error_code::overloaded after 20 lost races.
    result<batch::job_record> cancel(std::string_view job);

    /// Calls \p each for every committed entry, in the order of commits, until it returns false.
    /// Reads from either copy, in chunks of 4 MiB.
    result<void> read_entries(const batch::job_record& record,
                              const std::function<bool(const batch::item_entry&)>& each);

private:
    /// Reads the next bytes of a segment from the first copy where they can be read.
    result<std::string> read_chunk(const batch::job_record& record,
                                   const batch::committed_segment& segment, std::uint64_t offset);
    result<void> read_segment(const batch::job_record& record,
                              const batch::committed_segment& segment,
                              const std::function<bool(const batch::item_entry&)>& each);

    daemon_context& m_context;
    copy_store& m_copies;
};

} // namespace eelgrassdoor::service
