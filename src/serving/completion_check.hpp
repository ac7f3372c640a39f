/// \file
/// Defines which bodies of completions are refused before anything is sent.
#pragma once

#include "base/error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace eelgrassdoor::serving {

/// The path of chats; their bodies have messages instead of a prompt.
inline constexpr std::string_view chat_path = "/v1/chat/completions";

/// Whether \p body can be a completion. Checks the fields that every engine reads: \p has_messages
/// tells a chat from a plain prompt; other fields are the engine's. An error is run_state::not_run,
/// code invalid_request, and names the field and what it must be.
result<void> check_completion(const nlohmann::json& body, bool has_messages);

} // namespace eelgrassdoor::serving
