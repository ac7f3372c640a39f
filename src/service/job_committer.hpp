/// \file
/// Defines the service that commits the results of owned jobs.
#pragma once

#include "service/copy_store.hpp"
#include "service/daemon_context.hpp"
#include "service/job_store.hpp"
#include "service/job_table.hpp"
#include "service/ticker.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// Writes results to both copies, then swaps the job's record. A result counts only once the
/// record names its bytes, and the swap fails when another daemon has taken the job: so what an
/// old owner finishes is never committed. Thread-safe.
class job_committer {
public:
    job_committer(runtime& shared, copy_store& copies, job_store& jobs, job_table& table);

    void start();
    void stop() { m_ticker.stop(); }

    /// Begins to run a job that this daemon has claimed. \p restored are the committed entries.
    void take(const stored_job& job, const std::vector<batch::item_entry>& restored);
    /// The record of \p job has changed; looks at it soon.
    void note_changed(std::string_view job);
    /// The record was replaced by this daemon, for another copy.
    void set_record(const stored_job& job);
    /// Called when a job has ended or is lost; the record is the last one known.
    void on_released(std::function<void(const batch::job_record&)> hook) {
        m_released_hook = std::move(hook);
    }

private:
    /// A batch of entries on its way into the record.
    struct commit_plan {
        std::shared_ptr<owned_job> job;
        batch::job_record next;
        std::string bytes;
        std::uint64_t offset = 0;
        std::size_t entries = 0;
    };
    enum class refresh_outcome { kept, ended, lost };

    void start_commits();
    bool commit_is_due(const owned_job& job, time_point now) const;
    commit_plan plan_commit(const std::shared_ptr<owned_job>& job)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void commit(const std::shared_ptr<owned_job>& job);
    bool write_copies(const commit_plan& plan);
    void refresh(const std::shared_ptr<owned_job>& job);
    refresh_outcome take_record(owned_job& job, const stored_job& found, time_point asked_at)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void note_committed(owned_job& job, std::size_t entries)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void apply_committed(const commit_plan& plan, const stored_job& stored);
    void release(const std::shared_ptr<owned_job>& job, bool lost);

    runtime& m_shared;
    copy_store& m_copies;
    job_store& m_jobs;
    job_table& m_table;
    std::function<void(const batch::job_record&)> m_released_hook;
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
