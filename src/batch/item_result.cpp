#include "batch/item_result.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::batch {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

std::string dump(const ordered_json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode_entry(const item_entry& entry) {
    ordered_json value{{"i", entry.index}};
    if (entry.is_intent) {
        value["intent"] = true;
    } else {
        value["failed"] = entry.failed;
        value["line"] = entry.line;
    }
    return dump(value);
}

std::optional<item_entry> decode_entry(std::string_view payload) {
    const json value = json::parse(payload, nullptr, false);
    if (!value.is_object() || !value.contains("i")) {
        return std::nullopt;
    }
    return item_entry{value["i"], value.value("intent", false), value.value("failed", false),
                      value.value("line", "")};
}

std::string response_line(std::string_view custom_id, int status, std::string_view body) {
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        parsed = std::string(body);
    }
    return dump({{"custom_id", custom_id},
                 {"response", {{"status_code", status}, {"body", std::move(parsed)}}},
                 {"error", nullptr}});
}

std::string error_line(std::string_view custom_id, std::string_view code,
                       std::string_view message) {
    return dump({{"custom_id", custom_id},
                 {"response", nullptr},
                 {"error", {{"code", code}, {"message", message}}}});
}

} // namespace eelgrassdoor::batch
