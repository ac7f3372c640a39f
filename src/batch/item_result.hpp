/// \file
/// Defines the records in a job's result files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::batch {

/// One entry of a result file: a result, or the intent to send a non-idempotent item, which must
/// not be sent twice.
struct item_entry {
    /// Position of the item in its job, from 0.
    std::uint64_t index = 0;
    bool is_intent = false;
    /// Whether the item ended with an error.
    bool failed = false;
    /// The line returned to the caller; empty for an intent.
    std::string line;
};

/// Serializes an entry as JSON; decode_entry() reads it back.
std::string encode_entry(const item_entry& entry);
/// Returns nothing when \p payload is not an entry. Throws nlohmann::json::exception when a field
/// has the wrong type.
std::optional<item_entry> decode_entry(std::string_view payload);

/// The result line of an item with a response. A \p body that is not JSON is stored as a string.
std::string response_line(std::string_view custom_id, int status, std::string_view body);
/// The result line of an item that ended without a response.
std::string error_line(std::string_view custom_id, std::string_view code, std::string_view message);

} // namespace eelgrassdoor::batch
