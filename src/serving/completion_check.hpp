/// \file
/// Defines the validation of completion requests before they are sent to a target.
#pragma once

#include "base/error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace eelgrassdoor::serving {

/// Path of chat completions, whose bodies have messages instead of a prompt.
inline constexpr std::string_view chat_path = "/v1/chat/completions";

/// Validates the body of a completion request. Checks only the fields that every engine reads;
/// other fields are left to the engine. \p has_messages selects a chat completion instead of a
/// plain prompt. An error has code invalid_request and run_state::not_run; its message names the
/// field and the expected value.
result<void> check_completion(const nlohmann::json& body, bool has_messages);

} // namespace eelgrassdoor::serving
