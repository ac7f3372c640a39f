/// \file
/// Defines the reader of one submitted item.
#pragma once

#include "base/error.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::batch {

/// One item of a job as its caller wrote it.
struct item_line {
    std::string custom_id;
    std::string path;
    /// The route, from the body's `model`.
    std::string route;
    /// The JSON body.
    std::string body;
};

inline constexpr std::size_t max_item_bytes = 1U << 20U;

/// Reads one line: an object with `custom_id`, optional `url`, and `body` with a `model`.
result<item_line> parse_item(std::string_view line);

} // namespace eelgrassdoor::batch
