/// \file
/// Defines the table of the jobs that this daemon owns.
#pragma once

#include "service/owned_job.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassdoor::service {

/// The owned jobs by id, shared by job_committer, which writes records, and item_dispatcher, which
/// runs items. The mutex also guards the jobs' contents; it is not held during I/O or calls to
/// other services.
struct job_table {
    mutable absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<owned_job>, std::less<>> jobs ABSL_GUARDED_BY(mutex);
    /// Set when the daemon shuts down and releases its jobs: no new items are sent.
    bool releasing_jobs ABSL_GUARDED_BY(mutex) = false;

    [[nodiscard]] std::size_t size() const {
        const absl::MutexLock lock(&mutex);
        return jobs.size();
    }
    [[nodiscard]] bool owns(std::string_view job) const {
        const absl::MutexLock lock(&mutex);
        return jobs.contains(job);
    }
};

/// Stops every running item of \p job; stopped items are queued again. Call with the table's mutex
/// held.
inline void cancel_running(owned_job& job) {
    for (auto& [index, entry] : job.running) {
        entry.item->cancel();
    }
}

} // namespace eelgrassdoor::service
