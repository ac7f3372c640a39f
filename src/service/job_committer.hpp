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
    /// Sets the function called when an owned job has ended or was claimed by another daemon, with
    /// the last known record.
    void on_released(std::function<void(const batch::job_record&)> hook) {
        m_released_hook = std::move(hook);
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

    void start_commits();
    bool commit_is_due(const owned_job& job, time_point now) const;
    commit_plan plan_commit(const std::shared_ptr<owned_job>& job)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void commit(const std::shared_ptr<owned_job>& job);
    bool write_copies(const commit_plan& plan);
    /// Reads the record, and releases the job when it has ended or is lost.
    void refresh(const std::shared_ptr<owned_job>& job);
    /// Applies the record as read after \p query_sent_at.
    refresh_outcome apply_record(owned_job& job, const stored_job& found, time_point query_sent_at)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    /// Removes the first \p entries uncommitted entries; items whose intents are among them may be
    /// sent.
    void pop_committed(owned_job& job, std::size_t entries)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_table.mutex);
    void apply_committed(const commit_plan& plan, const stored_job& stored);
    /// Removes the job from the table and stops its items.
    void release(const std::shared_ptr<owned_job>& job, bool lost);

    daemon_context& m_context;
    copy_store& m_copies;
    job_store& m_jobs;
    job_table& m_table;
    std::function<void(const batch::job_record&)> m_released_hook;
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
