/// \file
/// Defines the record of a batch job in the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::batch {

/// Lifecycle of a job. `finished` and `cancelled` are final.
enum class job_state { running, cancelling, cancelled, finished };

/// The enumerator's name, as stored and shown to callers.
std::string_view to_string(job_state state);

/// The results that one owner has committed. They are stored in a file with identical bytes on both
/// copies; bytes after the committed length are ignored.
struct committed_segment {
    /// The owner's epoch.
    std::uint64_t epoch = 0;
    /// Committed length of the file.
    std::uint64_t bytes = 0;

    bool operator==(const committed_segment&) const = default;
};

/// The agreed state of a job. Its size does not grow with the number of items.
struct job_record {
    std::string job;
    std::string customer;
    /// Digest of the submitted body; distinguishes a repeated submission from a different one.
    std::string body_digest;
    /// Directory name of the job's files on the spools; unique to one submission.
    std::string storage;
    std::uint64_t item_count = 0;
    /// Length of the file that holds the items.
    std::uint64_t item_bytes = 0;
    /// The hosts that store the files.
    std::vector<std::string> copies;
    job_state state = job_state::running;
    /// Increases with each change of owner. Results are valid only when the epoch of their segment
    /// is committed here.
    std::uint64_t epoch = 0;
    /// The host that runs the job.
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    std::vector<committed_segment> segments;
    /// Items with a committed result.
    std::uint64_t done = 0;
    /// Items among `done` that ended with an error.
    std::uint64_t failed = 0;
    /// Seconds from submission to the deadline; 0 when the job has none.
    double due_s = 0;
    /// Seconds since submission, as counted by the job's owners.
    double spent_s = 0;

    /// Whether the job is in a final state.
    [[nodiscard]] bool ended() const {
        return state == job_state::finished || state == job_state::cancelled;
    }
};

/// Serializes a record; job_record_from_json() returns nothing when \p text is not a complete one.
std::string to_json(const job_record& record);
std::optional<job_record> job_record_from_json(std::string_view text);

/// The id of a job, derived from the customer and the idempotency key, or from the body digest when
/// there is no key. The same submission always gets the same id.
/// \param idempotency_key the caller's key, or empty if none was given
std::string job_id(std::string_view customer, std::string_view idempotency_key,
                   std::string_view body_digest);

/// The store key of a job's record.
std::string job_key(std::string_view job);

/// The file name of the results written by the owner of \p epoch.
std::string segment_file(std::uint64_t epoch);

} // namespace eelgrassdoor::batch
