/// \file
/// Defines the record of a batch job in the key-value service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

enum class job_state { running, cancelling, cancelled, finished };

std::string_view to_string(job_state state);

/// The results that one owner has committed. They stand in a file of the same bytes on both
/// copies; bytes behind the committed ones do not count.
struct committed_segment {
    std::uint64_t epoch = 0;
    std::uint64_t bytes = 0;

    bool operator==(const committed_segment&) const = default;
};

/// What is agreed about a job. Its size does not grow with the number of items.
struct job_record {
    std::string job;
    std::string customer;
    /// Digest of the submitted body, to tell a resent submission from another one.
    std::string body_digest;
    /// Folder name of the job's files on the spools; unique to one submission.
    std::string storage;
    std::uint64_t item_count = 0;
    std::uint64_t item_bytes = 0;
    /// The hosts that keep the files.
    std::vector<std::string> copies;
    job_state state = job_state::running;
    /// Grows with each owner. Results count only when their segment's epoch is committed here.
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    std::vector<committed_segment> segments;
    /// Items with a committed result.
    std::uint64_t done = 0;
    /// Of these, the ones that ended with an error.
    std::uint64_t failed = 0;
    /// Seconds from submission to when the job is due; 0 when it has no deadline.
    double due_s = 0;
    /// Seconds that have passed since submission, as far as owners have counted them.
    double spent_s = 0;

    [[nodiscard]] bool ended() const {
        return state == job_state::finished || state == job_state::cancelled;
    }
};

std::string to_json(const job_record& record);
std::optional<job_record> job_record_from_json(std::string_view text);

/// The id of a job: the same submission always gets the same one.
/// \param idempotency_key the caller's key, or empty when none was given.
std::string job_id(std::string_view customer, std::string_view idempotency_key,
                   std::string_view body_digest);

/// The key of a job's record.
std::string job_key(std::string_view job);

/// The file name of the results that the owner of \p epoch wrote.
std::string segment_file(std::uint64_t epoch);

} // namespace eelgrassdoor::batch
