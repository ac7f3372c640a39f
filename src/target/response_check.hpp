/// \file
/// Defines how an answer of a target is recognised as that of a request.
#pragma once

#include <string_view>

namespace eelgrassdoor::target {

/// Whether the JSON text of an engine names \p attempt_id in its `id`. Engines put the id that came
/// with a request behind a prefix of their own.
bool answer_belongs(std::string_view json, std::string_view attempt_id);

/// Whether a target says by \p status that it did not run the request.
bool is_refusal(int status);

} // namespace eelgrassdoor::target
