/// \file
/// Defines checks of the responses of targets.
#pragma once

#include <string_view>

namespace eelgrassdoor::target {

/// Whether the `id` field of an engine's JSON response ends with \p attempt_id. Engines prepend a
/// prefix of their own to the id of the request. False when \p json is not an object with a string
/// id.
bool response_matches_attempt(std::string_view json, std::string_view attempt_id);

/// Whether \p status (429 or 503) means that the target did not run the request.
bool is_refusal(int status);

} // namespace eelgrassdoor::target
