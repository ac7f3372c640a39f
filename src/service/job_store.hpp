/// \file
/// Defines how job records are read and written, and how results are read.
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

/// A record and the revision under which it may be replaced.
struct stored_job {
    batch::job_record record;
    std::int64_t revision = 0;
};

/// Thread-safe.
class job_store {
public:
    job_store(runtime& shared, copy_store& copies) : m_shared(shared), m_copies(copies) {}

    /// Reads a record; fails with error_code::not_found when there is none.
    result<stored_job> load(std::string_view job);
    /// Creates the record, or returns the one that is there.
    result<stored_job> create(const batch::job_record& record);
    /// Replaces the record; revision in \p job is brought up to date.
    result<platform::swap_outcome> save(stored_job& job, const batch::job_record& next);
    /// Marks a running job as to be cancelled; returns the record as it is then.
    result<batch::job_record> cancel(std::string_view job);

    /// Calls \p each for every committed entry, from whichever copy can be read, until it returns
    /// false. Memory does not grow with the job.
    result<void> read_entries(const batch::job_record& record,
                              const std::function<bool(const batch::item_entry&)>& each);

private:
    /// Reads the next bytes of a segment from the first copy that has them.
    result<std::string> read_chunk(const batch::job_record& record,
                                   const batch::committed_segment& segment, std::uint64_t offset);
    result<void> read_segment(const batch::job_record& record,
                              const batch::committed_segment& segment,
                              const std::function<bool(const batch::item_entry&)>& each);

    runtime& m_shared;
    copy_store& m_copies;
};

} // namespace eelgrassdoor::service
