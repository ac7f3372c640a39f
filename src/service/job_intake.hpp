/// \file
/// Defines how a submitted job is stored before it is acknowledged.
#pragma once

#include "batch/job_record.hpp"
#include "service/copy_store.hpp"
#include "service/job_store.hpp"
#include "service/member_service.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// The name of the file with the submitted items, one JSON line each, in every storage.
inline constexpr std::string_view items_file = "items";
/// The name of the file with the job's id.
inline constexpr std::string_view job_file = "job";
/// No more than this is read of a file with a job's id.
inline constexpr std::uint64_t max_job_id_bytes = 128;

/// The parameters of a submission, apart from its items.
struct submission {
    std::string customer;
    std::string idempotency_key;
    /// Seconds after the submission at which the job is due; 0 for none.
    double due_s = 0;
};

/// Receives one submission. Items are checked line by line and written to two spools in two
/// availability zones; memory grows by 8 bytes per item only. Not thread-safe.
class job_intake {
public:
    job_intake(daemon_context& context, member_service& members, copy_store& copies,
               job_store& jobs, submission details);
    ~job_intake();
    job_intake(const job_intake&) = delete;
    job_intake& operator=(const job_intake&) = delete;

    /// Chooses the two spools. Fails with error_code::unavailable when there are no two.
    result<void> begin();
    /// Adds the next bytes of the body. Fails with error_code::invalid_request on a line that is
    /// too long, and with error_code::unavailable when a spool cannot be written.
    result<void> add(std::string_view bytes);
    /// Syncs the files and creates the job, or returns the existing job of a repeated submission; a
    /// returned job is durable and will be run. Fails with error_code::invalid_request and up to
    /// 100 findings on bad items, with error_code::conflict when the idempotency key was used for a
    /// different body, and with error_code::outcome_unknown when the job may have been created.
    result<batch::job_record> finish();

private:
    class body_digest;

    /// Checks one line; adds it to the buffer, or a finding when it is not a valid item.
    result<void> add_line(std::string_view line);
    /// Writes the buffer to both spools.
    result<void> flush(bool sync);
    /// Fails with all findings when an item was invalid, a custom_id is used twice or there are no
    /// items.
    result<void> validate_items();

    daemon_context& m_context;
    member_service& m_members;
    copy_store& m_copies;
    job_store& m_jobs;
    const submission m_submission;
    const std::string m_storage;
    std::vector<std::string> m_hosts;
    std::unique_ptr<body_digest> m_digest;
    std::string m_partial_line;
    std::string m_buffer;
    std::uint64_t m_written_bytes = 0;
    std::uint64_t m_items = 0;
    std::vector<std::uint64_t> m_id_hashes;
    std::vector<finding> m_findings;
};

} // namespace eelgrassdoor::service
