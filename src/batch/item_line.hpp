/// \file
/// Defines the parser of one submitted batch item.
#pragma once

#include "base/error.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::batch {

/// One item of a job as submitted by the caller.
struct item_line {
    std::string custom_id;
    /// Request path, from `url`; `/v1/completions` by default.
    std::string path;
    /// Route name, from the body's `model`.
    std::string route;
    /// Request body as JSON text.
    std::string body;
};

/// Longest accepted line, in bytes.
inline constexpr std::size_t max_item_bytes = 1U << 20U;

/// Parses one line: a JSON object with `custom_id`, optional `url`, and `body` with a `model`.
/// Returns error_code::invalid_request when the line is malformed or too long, or when the body is
/// not a valid completion request.
result<item_line> parse_item(std::string_view line);

} // namespace eelgrassdoor::batch
