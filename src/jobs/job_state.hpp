/// \file
/// Defines what the key-value service holds of a batch job.
#pragma once

#include "serving/protocol_codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::jobs {

/// The record on whose revision every change of a job depends.
struct job_state {
    std::string job;
    std::string customer;
    std::string route;
    /// Name with which callers addressed the route; targets get it too.
    std::string host;
    /// The daemon that runs the job, and the start of it that was meant.
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    /// Grows with each change of the owner.
    std::uint64_t epoch = 0;
    std::uint64_t items = 0;
    /// Results that are committed; they stand at the positions below this number.
    std::uint64_t listed = 0;
    /// Whether a caller has ended the job.
    bool ended = false;
    /// Tokens of all items.
    std::uint64_t tokens = 0;
    /// Unix milliseconds of the submission, by the clock of the daemon that took it.
    std::int64_t submitted_at = 0;
    /// Drawn anew for each change of the record. Two changes may otherwise write the same record
    /// beside different results, and one that takes effect late would pass for the other.
    std::uint64_t change = 0;

    bool operator==(const job_state&) const = default;
    [[nodiscard]] bool finished() const { return ended || listed == items; }
};

/// Prefixes of the keys.
inline constexpr std::string_view state_prefix = "egd/jobs/";
inline constexpr std::string_view items_prefix = "egd/job-items/";
inline constexpr std::string_view results_prefix = "egd/job-results/";
/// One key for each job that a caller has ended: owners watch these.
inline constexpr std::string_view ended_prefix = "egd/ended/";

std::string state_key(std::string_view job);
std::string items_key(std::string_view job, std::size_t part);
/// Results that begin at \p position.
std::string results_key(std::string_view job, std::uint64_t position);
std::string ended_key(std::string_view job);

std::string encode(const job_state& state);
std::optional<job_state> decode_state(std::string_view bytes);

/// The items of a job, cut into values of a bounded size.
std::vector<std::string> encode_items(const std::vector<serving::submitted_item>& items);
/// Reads one value that encode_items() wrote.
std::optional<std::vector<serving::submitted_item>> decode_items(std::string_view bytes);

std::string encode(const std::vector<serving::listed_result>& results);
std::optional<std::vector<serving::listed_result>> decode_results(std::string_view bytes);

std::string encode(const serving::result_page& page);
std::optional<serving::result_page> decode_page(std::string_view bytes);

} // namespace eelgrassdoor::jobs
