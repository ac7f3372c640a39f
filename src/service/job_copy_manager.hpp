/// \file
/// Defines the service that knows the jobs whose copies this host keeps: it claims those that no
/// live daemon owns, and makes lost copies again.
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

/// Thread-safe.
class job_keeper {
public:
    job_keeper(runtime& shared, member_service& members, document_service& documents,
               copy_store& copies, job_store& jobs, job_committer& committer, job_table& table);

    void start();
    void stop() { m_ticker.stop(); }

    /// The record of \p job may have changed.
    void note_changed(std::string_view job);
    /// Tells the hosts that keep the job's copies, and its owner, to look at its record.
    void notify(const batch::job_record& record);
    /// An owned job has ended or was lost; the record is the last one known.
    void note_released(const batch::job_record& record);
    /// The newest record that live daemons with copies know, while the key-value service is out.
    /// It may lag behind; what it names as committed is committed.
    result<batch::job_record> find_with_peers(std::string_view job);
    /// Gives up every owned job, so that another host claims it at once.
    void give_up();

private:
    /// Names a storage on the local spool. Submissions of one job at several hosts at once each
    /// have a storage of their own, and this host may keep copies of some; the job's record names
    /// the one that counts.
    struct storage_key {
        std::string job;
        std::string storage;

        bool operator<(const storage_key& other) const {
            return std::tie(job, storage) < std::tie(other.job, other.storage);
        }
    };
    /// What is known of a storage's job.
    struct kept_job {
        /// Empty while it is not known.
        batch::job_record record;
        /// Somebody said that the record has changed since.
        bool record_is_old = false;
        time_point next_look{};
        time_point first_seen{};
        checked_copies checked;
    };

    void step();
    std::optional<batch::job_record> find_kept(std::string_view job);
    void scan_spool();
    void add_storage(std::string_view storage);
    void look(const storage_key& key, kept_job kept);
    /// Whether this daemon owns the job and writes both copies; takes in its record then.
    bool runs_well_here(const std::string& job, kept_job& kept) const;
    /// Whether the record must be read to know what to do.
    bool needs_record(const kept_job& kept) const;
    /// Repairs copies and claims the job by the record that was just read.
    void act_on(const storage_key& key, kept_job kept, stored_job found);
    /// Forgets a storage and removes its local files.
    void drop(const storage_key& key);
    void update(const storage_key& key, const kept_job& kept);
    bool may_claim(const batch::job_record& record) const;
    void claim(stored_job found);
    void give_up_one(stored_job job);

    runtime& m_shared;
    member_service& m_members;
    copy_store& m_copies;
    job_store& m_jobs;
    job_committer& m_committer;
    job_table& m_table;
    copy_repair m_repair;
    absl::Mutex m_mutex;
    std::map<storage_key, kept_job> m_kept ABSL_GUARDED_BY(m_mutex);
    ticker m_ticker;
};

} // namespace eelgrassdoor::service
