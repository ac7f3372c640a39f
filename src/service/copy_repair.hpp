/// \file
/// Defines how a lost copy of a job's files is made again.
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

/// The incarnations of the other copies' hosts when their files were last seen.
using checked_copies = std::map<std::string, std::uint64_t>;

enum class repair_outcome {
    /// Both copies are there.
    whole,
    /// Another host has taken a lost copy's place; the record says so.
    replaced,
    /// A copy is missing and could not be made now.
    missing,
};

/// Works from the local copy. Thread-safe.
class copy_repair {
public:
    copy_repair(runtime& shared, member_service& members, document_service& documents,
                copy_store& copies, job_store& jobs)
        : m_shared(shared), m_members(members), m_documents(documents), m_copies(copies),
          m_jobs(jobs) {}

    /// Whether the platform says that a copy's host is gone, or the host came up anew and may
    /// have lost its disk.
    [[nodiscard]] bool is_lost(const std::string& host, const checked_copies& checked) const;
    /// Makes the files whole on both copies; \p found is brought up to date.
    repair_outcome repair(stored_job& found, checked_copies& checked);

private:
    /// The incarnation of a live host, or 0.
    std::uint64_t live_incarnation(const std::string& host) const;
    bool copy_files(const batch::job_record& record, const std::string& to);
    repair_outcome replace(stored_job& found, const std::string& lost);
    std::string choose_other_host(const batch::job_record& record) const;

    runtime& m_shared;
    member_service& m_members;
    document_service& m_documents;
    copy_store& m_copies;
    job_store& m_jobs;
};

} // namespace eelgrassdoor::service
