#include "target/response_check.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace eelgrassdoor::target {

bool answer_belongs(std::string_view json, std::string_view attempt_id) {
    const nlohmann::json answer = nlohmann::json::parse(json, nullptr, false);
    if (!answer.is_object()) {
        return false;
    }
    const auto id = answer.find("id");
    return id != answer.end() && id->is_string() &&
           id->get_ref<const std::string&>().ends_with(attempt_id);
}

bool is_refusal(int status) {
    return status == 429 || status == 503;
}

} // namespace eelgrassdoor::target
