/// \file
/// Defines checks of the responses of targets.
#pragma once

#include <string_view>

namespace eelgrassdoor::target {

/// Whether the JSON text of an engine names \p attempt_id in its `id`. Engines put the id that came
/// with a request after a prefix of their own.
bool response_matches_attempt(std::string_view json, std::string_view attempt_id);

/// Whether \p status (429 or 503) means that the target did not run the request.
bool is_refusal(int status);

} // namespace eelgrassdoor::target
