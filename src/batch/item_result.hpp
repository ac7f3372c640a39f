/// \file
/// Defines the records in a job's result files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::batch {

/// One entry of a result file: a result, or the intent to send an item that must not be sent
/// twice.
struct item_entry {
    std::uint64_t index = 0;
    bool is_intent = false;
    bool failed = false;
    /// The line that the caller reads; empty for an intent.
    std::string line;
};

std::string encode_entry(const item_entry& entry);
std::optional<item_entry> decode_entry(std::string_view payload);

/// The result line of an answered item. \p body must be JSON.
std::string response_line(std::string_view custom_id, int status, std::string_view body);
/// The result line of an item that ended without an answer.
std::string error_line(std::string_view custom_id, std::string_view code, std::string_view message);

} // namespace eelgrassdoor::batch
