/// \file
/// Defines the calls of eelgrassctl to the administration and batch APIs.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace eelgrassdoor::ctl {

/// Where and as whom to call.
struct api_options {
    std::string server = "http://127.0.0.1:8080";
    std::string operator_key;
    std::string caller_key;
    std::string operator_name = "operator";
};

/// How a call ended.
struct api_response {
    /// 0 when no answer came.
    int status = 0;
    std::string body;
    /// Whether the request may have taken effect although no answer came.
    bool may_have_executed = false;

    [[nodiscard]] bool ok() const { return status == 200; }
    [[nodiscard]] nlohmann::json json() const {
        return nlohmann::json::parse(body, nullptr, false);
    }
    /// The message of an error answer.
    [[nodiscard]] std::string message() const;
};

/// Calls one daemon.
class api_client {
public:
    explicit api_client(api_options options) : m_options(std::move(options)) {}
    api_response get(const std::string& path, bool as_operator = true) const;
    api_response post(const std::string& path, const std::string& body, const std::string& type,
                      bool as_operator = true, const std::string& idempotency_key = {}) const;

private:
    api_options m_options;
};

} // namespace eelgrassdoor::ctl
