#include "serving/completion_check.hpp"

#include "base/text.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace eelgrassdoor::serving {

namespace {

using nlohmann::json;

error invalid_field(std::string_view field, std::string_view wanted) {
    return {error_code::invalid_request, str_cat("\"", field, "\" must be ", wanted),
            run_state::not_run};
}

/// Returns the field, or null when it is absent or its value is null.
const json* find(const json& body, std::string_view field) {
    const auto found = body.find(field);
    return found == body.end() || found->is_null() ? nullptr : &*found;
}

/// Whether \p value is a string or a list: of strings in a prompt, of typed parts in a message.
bool is_content(const json& value) {
    return value.is_string() || value.is_array();
}

result<void> check_messages(const json& body) {
    const json* messages = find(body, "messages");
    if (messages == nullptr || !messages->is_array() || messages->empty()) {
        return invalid_field("messages", "a non-empty list of messages");
    }
    for (const json& message : *messages) {
        if (!message.is_object()) {
            return invalid_field("messages", "a list of objects");
        }
        const json* role = find(message, "role");
        if (role == nullptr || !role->is_string()) {
            return invalid_field("messages[].role", "a string");
        }
        const json* content = find(message, "content");
        if (content != nullptr && !is_content(*content)) {
            return invalid_field("messages[].content", "a string or a list of parts");
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

result<void> check_completion(const json& body, bool has_messages) {
    if (!body.is_object()) {
        return error{error_code::invalid_request, "the body must be a JSON object",
                     run_state::not_run};
    }
    const json* model = find(body, "model");
    if (model == nullptr || !model->is_string()) {
        return invalid_field("model", "the name of a model");
    }
    for (const std::string_view field : {"max_tokens", "max_completion_tokens", "n"}) {
        const json* count = find(body, field);
        const bool positive =
            count != nullptr && count->is_number_integer() && count->get<std::int64_t>() >= 1;
        if (count != nullptr && !positive) {
            return invalid_field(field, "an integer of at least 1");
        }
    }
    const json* stream = find(body, "stream");
    if (stream != nullptr && !stream->is_boolean()) {
        return invalid_field("stream", "true or false");
    }
    if (has_messages) {
        return check_messages(body);
    }
    const json* prompt = find(body, "prompt");
    if (prompt != nullptr && !is_content(*prompt)) {
        return invalid_field("prompt", "a string or a list");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace eelgrassdoor::serving
