#include "front/responses.hpp"

#include "base/text.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace eelgrassdoor::front {

std::string error_json(const error& e, std::string_view request_id) {
    const nlohmann::ordered_json body{{"error",
                                       {{"code", to_string(e.code)},
                                        {"message", e.message},
                                        {"request_id", request_id},
                                        {"run", to_string(e.run)}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void write_error(httplib::Response& response, const error& e, std::string_view request_id) {
    response.status = http_status(e.code);
    response.set_content(error_json(e, request_id), "application/json");
    if (e.retry_after > duration{}) {
        response.set_header("Retry-After", std::to_string(retry_after_seconds(e.retry_after)));
    }
}

std::string bearer_key(const httplib::Request& request) {
    const std::string value = request.get_header_value("Authorization");
    constexpr std::string_view scheme = "bearer ";
    if (!starts_with_ignore_case(value, scheme)) {
        return {};
    }
    return std::string(strip(std::string_view(value).substr(scheme.size())));
}

} // namespace eelgrassdoor::front
