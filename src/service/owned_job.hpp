/// \file
/// Defines what a daemon keeps of a job that it owns.
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

/// One item that runs.
struct running_entry {
    std::shared_ptr<running_item> item;
    std::string target;
};

/// A write of the record whose outcome may be unknown.
struct commit_attempt {
    /// The size of the segment after the write.
    std::uint64_t segment_bytes = 0;
    std::size_t entries = 0;
};

/// A job that this daemon owns. Guarded by the mutex of its job_table.
struct owned_job {
    owned_job(stored_job job, std::string items_path, time_point now)
        : stored(std::move(job)), progress(stored.record.item_count), reader(items_path),
          contact_at(now), committed_at(now), owned_since(now) {}

    stored_job stored;
    batch::job_progress progress;
    item_reader reader;
    std::map<std::uint64_t, running_entry> running;
    /// Items on non-idempotent routes whose intent is committed.
    std::set<std::uint64_t> cleared;
    /// Items that wait for their intent to be committed.
    std::set<std::uint64_t> awaiting_intent;
    /// When the record was last read or written.
    time_point contact_at;
    time_point committed_at;
    time_point owned_since;
    /// Whether a worker reads or writes the record now.
    bool busy = false;
    /// Somebody said that the record has changed.
    bool refresh_wanted = false;
    /// Whether the other copy failed at the latest write.
    std::optional<time_point> copy_failing_since;
    /// Nothing is written before this time.
    time_point hold_until{};
    /// The writes since the record was last known. All begin with the same entries.
    std::vector<commit_attempt> attempts;
};

} // namespace eelgrassdoor::service
