#include "batch/item_line.hpp"

#include "base/text.hpp"
#include "serving/completion_check.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::batch {

namespace {

error invalid_item(std::string message) {
    return {error_code::invalid_request, std::move(message), run_state::not_run};
}

bool has_string(const nlohmann::json& object, const char* name) {
    return object.contains(name) && object[name].is_string();
}

} // namespace

result<item_line> parse_item(std::string_view line) {
    if (line.size() > max_item_bytes) {
        return invalid_item(str_cat("is longer than ", max_item_bytes, " bytes"));
    }
    const nlohmann::json item = nlohmann::json::parse(line, nullptr, false);
    if (!item.is_object()) {
        return invalid_item("is not a JSON object");
    }
    if (!has_string(item, "custom_id") || item["custom_id"].get_ref<const std::string&>().empty()) {
        return invalid_item("has no string \"custom_id\"");
    }
    if (!item.contains("body") || !item["body"].is_object() || !has_string(item["body"], "model")) {
        return invalid_item("has no object \"body\" with a string \"model\"");
    }
    const std::string url = has_string(item, "url") ? item["url"] : "/v1/completions";
    BOOST_OUTCOME_TRY(serving::check_completion(item["body"], url == serving::chat_path));
    return item_line{item["custom_id"], url, item["body"]["model"],
                     item["body"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace eelgrassdoor::batch
