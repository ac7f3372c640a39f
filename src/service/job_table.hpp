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

/// Shared by the committer, which writes records, and the dispatcher, which runs items. The mutex
/// is held around table and progress only, never around I/O or calls to other services.
struct job_table {
    mutable absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<owned_job>, std::less<>> jobs ABSL_GUARDED_BY(mutex);
    /// The daemon is leaving: nothing new is sent.
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

/// Stops every running item of \p job; each goes back to the items that wait.
inline void cancel_running(owned_job& job) {
    for (auto& [index, entry] : job.running) {
        entry.item->cancel();
    }
}

} // namespace eelgrassdoor::service
