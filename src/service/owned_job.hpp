/// \file
/// Defines the state of a job that this daemon owns.
#pragma once

#include "batch/job_progress.hpp"
#include "service/item_reader.hpp"
#include "service/job_store.hpp"
#include "service/running_item.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::service {

/// An item that is running, and its target.
struct running_entry {
    std::shared_ptr<running_item> item;
    std::string target;
};

/// An attempt to commit results, whose outcome may be unknown.
struct commit_attempt {
    /// The size of the segment, in bytes, if the commit took effect.
    std::uint64_t segment_bytes = 0;
    /// The number of entries in the commit.
    std::size_t entries = 0;
};

/// A job that this daemon owns. Guarded by the mutex of its job_table.
struct owned_job {
    owned_job(stored_job job, std::string items_path, time_point now)
        : stored(std::move(job)), progress(stored.record.item_count), reader(items_path),
          record_synced_at(now), committed_at(now), accounted_until(now) {}

    stored_job stored;
    batch::job_progress progress;
    item_reader reader;
    /// The items that are running, by index.
    std::map<std::uint64_t, running_entry> running;
    /// Items on non-idempotent routes whose intent is committed.
    std::set<std::uint64_t> intent_committed;
    /// Items on non-idempotent routes whose intent is not committed yet.
    std::set<std::uint64_t> awaiting_intent;
    /// When the record was last read or written.
    time_point record_synced_at;
    /// When this daemon last committed results, or claimed the job.
    time_point committed_at;
    /// The time until which the running time is included in the record's spent_s.
    time_point accounted_until;
    /// Whether a worker is reading or writing the record now.
    bool busy = false;
    /// Whether the record was reported as changed and must be read.
    bool refresh_requested = false;
    /// Since when writes to a copy have failed; unset while they succeed.
    std::optional<time_point> copy_failing_since;
    /// The record is not read or written before this time.
    time_point retry_at{};
    /// The commits attempted since the record was last known. All start with the same entries.
    std::vector<commit_attempt> attempts;
};

} // namespace eelgrassdoor::service
