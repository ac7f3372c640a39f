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

/// Writes results to both copies, then replaces the job's record by compare-and-swap. A result is
/// committed only when the record covers its bytes, and the swap fails when another daemon has
/// claimed the job; so results of a former owner are never committed. Thread-safe.
class job_committer {
public:
    job_committer(daemon_context& context, copy_store& copies, job_store& jobs, job_table& table);

    /// Starts to commit the results of the jobs in the job table.
    void start();
    void stop() { m_ticker.stop(); }

    /// Adds a job that this daemon has claimed to the job table, which starts it. \p restored are
    /// the entries that earlier owners committed.
    void start_job(const stored_job& job, const std::vector<batch::item_entry>& restored);
    /// Marks the record of \p job as changed; it is read again soon. Ignored for jobs that are not
    /// owned.
    void mark_changed(std::string_view job);
    /// Stores the record after this daemon replaced it to name another copy.
    void set_record(const stored_job& job);
    /// Sets the function called with the last known record after an owned job was removed from the
    /// job table, because it has ended or another daemon has claimed it. Call before start().
    void on_job_stopped(std::function<void(const batch::job_record&)> hook) {
        m_job_stopped_hook = std::move(hook);
    }

private:
    /// Entries to be committed, and the record that will cover them.
    struct commit_plan {
        std::shared_ptr<owned_job> job;
        batch::job_record next;
        /// The encoded entries, to be written to the owner's segment at \p offset.
        std::string bytes;
        std::uint64_t offset = 0;
        std::size_t entries = 0;
    };
    /// Whether the job is still owned, has ended, or was claimed by another daemon.
    enum class refresh_outcome { still_owned, ended, lost };

    /// Starts commit() on worker threads for all jobs that are due; run every 50 ms.
    void start_commits();
    /// Whether the job has results to commit now, or its record must be read or written.
    bool commit_is_due(const owned_job& job, time_point now) const;
    /// Plans a commit of up to 512 entries, and the end of the job if no more results will follow.
    commit_plan plan_commit(const std::shared_ptr<owned_job>& job)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Commits the job's results, or reads its record when there is nothing to commit.
    void commit(const std::shared_ptr<owned_job>& job);
    /// Writes the planned bytes to both copies; returns whether both writes succeeded.
    bool write_copies(const commit_plan& plan);
    /// Reads the record, and releases the job when it has ended or is lost.
    void refresh(const std::shared_ptr<owned_job>& job);
    /// Applies the record \p found by a query that was sent at \p query_sent_at.
    refresh_outcome apply_record(owned_job& job, const stored_job& found, time_point query_sent_at)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Removes the first \p entries uncommitted entries; items whose intents are among them may be
    /// sent.
    void pop_committed(owned_job& job, std::size_t entries)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Updates the job after its planned record was written, and releases it when it has ended.
    void apply_committed(const commit_plan& plan, const stored_job& stored);
    /// Removes the job from the table, stops its items and calls the hook; \p lost when another
    /// daemon has claimed the job. The record is not changed.
    void stop_job(const std::shared_ptr<owned_job>& job, bool lost);

    daemon_context& m_context;
    copy_store& m_copies;
    job_store& m_jobs;
    job_table& m_table;
    std::function<void(const batch::job_record&)> m_job_stopped_hook;
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
