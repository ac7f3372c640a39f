/// \file
/// Defines the representation of batch jobs in the key-value service.
#pragma once

#include "serving/protocol_codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::jobs {

/// The record of a job. Every change of the job is conditional on the record's revision. The fields
/// are serialized in this order.
struct job_state {
    std::string job;
    std::string customer;
    std::string route;
    /// Host name under which the caller addressed the route; it is passed on to targets.
    std::string host;
    /// Host and incarnation of the daemon that runs the job.
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    /// Incremented with each change of the owner.
    std::uint64_t epoch = 0;
    /// Number of items.
    std::uint64_t items = 0;
    /// Number of committed results; their positions are 0 to committed_count - 1.
    std::uint64_t committed_count = 0;
    /// Whether a caller has cancelled the job.
    bool cancelled = false;
    /// Sum of the tokens of all items.
    std::uint64_t tokens = 0;
    /// Time of submission in Unix milliseconds, by the clock of the daemon that accepted the job.
    std::int64_t submitted_at = 0;
    /// Random id of the latest change. Without it two changes could write the same record next to
    /// different results, and one that takes effect late would be mistaken for the other.
    std::uint64_t change_id = 0;

    bool operator==(const job_state&) const = default;
    /// Whether the job is cancelled or all its results are committed.
    [[nodiscard]] bool finished() const { return cancelled || committed_count == items; }
};

/// Key prefixes of records, items and results.
inline constexpr std::string_view state_prefix = "egd/jobs/";
inline constexpr std::string_view items_prefix = "egd/job-items/";
inline constexpr std::string_view results_prefix = "egd/job-results/";
/// Prefix of the keys of cancelled jobs, one for each; owners watch it.
inline constexpr std::string_view cancelled_prefix = "egd/ended/";
/// Prefix of the keys of refused jobs, one for each; they lapse after a while.
inline constexpr std::string_view refusals_prefix = "egd/refused/";

std::string state_key(std::string_view job);
/// Key of the value with number \p part, from 0, of a job's items.
std::string items_key(std::string_view job, std::size_t part);
/// Key of the value whose first result has \p position.
std::string results_key(std::string_view job, std::uint64_t position);
std::string cancelled_key(std::string_view job);
std::string refusal_key(std::string_view job);

/// Binary encoding of records. The decoders here return nothing when the bytes are malformed.
std::string encode(const job_state& state);
std::optional<job_state> decode_state(std::string_view bytes);

/// Encodes the items of a job into one or more values of bounded size. An item is never split.
std::vector<std::string> encode_items(const std::vector<serving::submitted_item>& items);
/// Decodes one value that encode_items() has produced.
std::optional<std::vector<serving::submitted_item>> decode_items(std::string_view bytes);

std::string encode(const std::vector<serving::item_result>& results);
std::optional<std::vector<serving::item_result>> decode_results(std::string_view bytes);

std::string encode(const serving::result_page& page);
std::optional<serving::result_page> decode_page(std::string_view bytes);

} // namespace eelgrassdoor::jobs
