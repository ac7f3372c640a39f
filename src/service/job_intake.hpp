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

/// The name of the file with the submitted items, and of the one with the job's id.
inline constexpr std::string_view items_file = "items";
inline constexpr std::string_view job_file = "job";
inline constexpr std::uint64_t max_job_id_bytes = 128;

/// What was said with a submission besides its items.
struct submission {
    std::string customer;
    std::string idempotency_key;
    double due_s = 0;
};

/// One submission while it comes in. Items are checked line by line and written to two spools in
/// two availability zones; memory does not grow with the job, but for 8 bytes an item.
class job_intake {
public:
    job_intake(daemon_context& context, member_service& members, copy_store& copies,
               job_store& jobs, submission details);
    ~job_intake();
    job_intake(const job_intake&) = delete;
    job_intake& operator=(const job_intake&) = delete;

    /// Chooses the two spools.
    result<void> begin();
    /// Takes in the next bytes of the body.
    result<void> add(std::string_view bytes);
    /// Makes everything durable and creates the job, or finds the one that a resent submission
    /// belongs to. A job that is returned will be run.
    result<batch::job_record> finish();

private:
    class body_digest;

    result<void> add_line(std::string_view line);
    result<void> flush(bool sync);
    result<void> check_duplicates();

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
