/// \file
/// Defines how large results may be. A result is stored in a value of the key-value service, sent
/// between daemons and listed in JSON; listed, it is the longest.
#pragma once

#include "serving/protocol_codec.hpp"

#include <cstddef>
#include <string_view>

namespace eelgrassdoor::jobs {

/// Limit of a response that lists results, in bytes.
inline constexpr std::size_t max_response_bytes = 1'000'000;

/// Bytes from which on a response that lists results lists no further one; a single one may be
/// longer.
inline constexpr std::size_t max_page_bytes = 700UL * 1024;
/// What max_page_bytes may be lowered to when a daemon is short of memory.
inline constexpr std::size_t min_page_bytes = 32UL * 1024;

/// Bytes of a response that lists results, or of a stored value, beside the results or items.
inline constexpr std::size_t value_frame_bytes = 256;

/// Upper bound of the bytes that \p text takes within a JSON string: a control character takes six,
/// and an invalid byte is replaced by a character of three.
[[nodiscard]] std::size_t listed_size(std::string_view text);
/// Upper bound of the bytes that \p result takes in a response that lists it.
[[nodiscard]] std::size_t listed_size(const serving::item_result& result);

/// Upper bound of the bytes that \p result takes in a stored value.
[[nodiscard]] std::size_t stored_size(const serving::item_result& result);
/// The same for an item of a job.
[[nodiscard]] std::size_t stored_size(const serving::submitted_item& item);

} // namespace eelgrassdoor::jobs
