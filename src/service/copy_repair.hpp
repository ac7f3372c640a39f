/// \file
/// Defines how a lost copy of a job's files is restored.
#pragma once

#include "service/copy_store.hpp"
#include "service/daemon_context.hpp"
#include "service/document_service.hpp"
#include "service/job_store.hpp"
#include "service/member_service.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrassdoor::service {

/// For each host with another copy, its incarnation when the files there were last verified.
using verified_incarnations = std::map<std::string, std::uint64_t>;

enum class repair_outcome {
    /// Both copies exist.
    intact,
    /// A lost copy was written to another host and the job's record was updated.
    replaced,
    /// A copy is missing and could not be restored now; try again later.
    missing,
};

/// Restores lost copies from the copy on this host. Thread-safe.
class copy_repair {
public:
    copy_repair(daemon_context& context, member_service& members, document_service& documents,
                copy_store& copies, job_store& jobs)
        : m_context(context), m_members(members), m_documents(documents), m_copies(copies),
          m_jobs(jobs) {}

    /// Whether \p host is gone according to a host list at most 5 s old, or is live but its files
    /// were not verified since it was started, so that its disk may have been lost.
    [[nodiscard]] bool is_lost(const std::string& host,
                               const verified_incarnations& verified) const;
    /// Checks the other copies of the job's files and restores those that are lost. Updates
    /// \p found when a copy moves to another host, and \p verified for each copy found in order.
    repair_outcome repair(stored_job& found, verified_incarnations& verified);

private:
    /// The incarnation of \p host, or 0 when it is not live.
    std::uint64_t live_incarnation(const std::string& host) const;
    /// Copies the committed part of the job's files from this host to \p to.
    bool copy_files(const batch::job_record& record, const std::string& to);
    /// Writes the copy on \p lost to another host, and names that host in the job's record.
    repair_outcome replace(stored_job& found, const std::string& lost);
    /// A live spool host outside this host's zone that holds no copy; empty when there is none.
    std::string choose_replacement(const batch::job_record& record) const;

    daemon_context& m_context;
    member_service& m_members;
    document_service& m_documents;
    copy_store& m_copies;
    job_store& m_jobs;
};

} // namespace eelgrassdoor::service
