/// \file
/// Defines compression in the zlib format, which HTTP calls "deflate".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor {

/// Compresses \p bytes, preferring speed over size.
std::string compress(std::string_view bytes);

/// Decompresses the output of compress(). Returns nothing when \p bytes are malformed or truncated,
/// or when the result would exceed \p max_bytes.
std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace eelgrassdoor
