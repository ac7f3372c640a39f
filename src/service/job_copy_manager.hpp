/// \file
/// Defines the service that manages the job copies stored on this host.
#pragma once

#include "service/copy_repair.hpp"
#include "service/copy_store.hpp"
#include "service/daemon_context.hpp"
#include "service/document_service.hpp"
#include "service/job_committer.hpp"
#include "service/job_store.hpp"
#include "service/job_table.hpp"
#include "service/member_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace eelgrassdoor::service {

/// Checks the record of every job with a copy on this host: claims jobs that no live daemon owns,
/// restores lost copies, and removes copies that the record no longer names. Thread-safe.
class job_copy_manager {
public:
    job_copy_manager(daemon_context& context, member_service& members, document_service& documents,
                     copy_store& copies, job_store& jobs, job_committer& committer,
                     job_table& table);

    /// Scans the spool and starts the periodic checks.
    void start();
    void stop() { m_ticker.stop(); }

    /// Marks the record of \p job as changed and makes the next check, which reads it, at once.
    void mark_changed(std::string_view job);
    /// Notifies the hosts with the job's copies, and its owner, that its record has changed.
    void notify(const batch::job_record& record);
    /// Stores \p record, the last known of a job that this daemon ran and that has ended or was
    /// claimed by another daemon, and notifies the other hosts of it.
    void handle_job_stopped(const batch::job_record& record);
    /// The newest record known to this and other live spool hosts, for use while the key-value
    /// service is unreachable. It may be out of date, but everything that it lists as committed is
    /// committed. Waits up to 1 s per host; fails with error_code::unavailable when no host knows
    /// the job.
    result<batch::job_record> find_with_peers(std::string_view job);
    /// Releases every owned job, so that other hosts can claim them at once. Waits up to 3 s for
    /// results to be committed. Call stop() before; the job_committer must still run.
    void release_jobs();

private:
    /// Identifies a storage on the local spool. Concurrent submissions of one job at several hosts
    /// have a storage each, and this host may hold several of these; the job's record names the
    /// valid one.
    struct storage_key {
        std::string job;
        std::string storage;

        bool operator<(const storage_key& other) const {
            return std::tie(job, storage) < std::tie(other.job, other.storage);
        }
    };
    /// The state of a storage and of its job.
    struct local_copy {
        /// The last known record; its job id is empty while none is known.
        batch::job_record record;
        /// Whether the record was reported as changed since it was read.
        bool record_is_stale = false;
        time_point next_check{};
        time_point first_seen{};
        verified_incarnations verified;
    };

    /// Checks the storages that are due; run every 200 ms.
    void step();
    /// The last record of \p job known to this daemon.
    std::optional<batch::job_record> find_local_record(std::string_view job);
    /// Adds all storages that the spool held at the start.
    void scan_spool();
    /// Adds a storage, or schedules a check of it now. Ignored when it has no job file.
    void add_storage(std::string_view storage);
    /// Reads the record if necessary, and acts on it.
    void check(const storage_key& key, local_copy copy);
    /// Whether this daemon owns the job and its latest writes to both copies succeeded. Updates
    /// \p copy from the job table when the job is owned.
    bool is_running_here(const std::string& job, local_copy& copy) const;
    /// Whether the record must be read from the key-value service.
    bool needs_record(const local_copy& copy) const;
    /// Repairs copies, and claims the job if necessary, by the record just read.
    void process_record(const storage_key& key, local_copy copy, stored_job found);
    /// Removes a storage with its files.
    void remove_storage(const storage_key& key);
    /// Stores the changed state of a storage, unless the storage was removed meanwhile. The next
    /// check is not made earlier than already scheduled.
    void update(const storage_key& key, const local_copy& copy);
    /// Whether this daemon should claim the job now.
    bool may_claim(const batch::job_record& record) const;
    /// Makes this daemon the owner of the job and starts it; the job is released again when its
    /// committed results cannot be read.
    void claim(stored_job found);
    /// Clears the owner in the job's record and notifies the other hosts.
    void release_job(stored_job job);

    daemon_context& m_context;
    member_service& m_members;
    copy_store& m_copies;
    job_store& m_jobs;
    job_committer& m_committer;
    job_table& m_table;
    copy_repair m_repair;
    absl::Mutex m_mutex;
    std::map<storage_key, local_copy> m_local_copies ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
