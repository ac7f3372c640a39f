/// \file
/// Defines the HTTP client of eelgrassctl for the administration and batch APIs.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace eelgrassdoor::ctl {

/// Server and keys of the calls.
struct api_options {
    /// Base URL of any daemon.
    std::string server = "http://127.0.0.1:8080";
    /// Key of the administration API.
    std::string operator_key;
    /// Key of a customer, for the batch API.
    std::string caller_key;
    /// Name of the person who makes a change, recorded in the timeline.
    std::string operator_name = "operator";
};

/// Response to a call, or how the call failed.
struct api_response {
    /// HTTP status; 0 when no response was received.
    int status = 0;
    std::string body;
    /// Whether the request may have been executed although no response was received.
    bool may_have_executed = false;

    [[nodiscard]] bool ok() const { return status == 200; }
    /// Returns the parsed body; a discarded value when it is not JSON.
    [[nodiscard]] nlohmann::json json() const {
        return nlohmann::json::parse(body, nullptr, false);
    }
    /// Returns a message for the operator about a failed call.
    [[nodiscard]] std::string message() const;
};

/// Calls the API of one daemon. Blocks until the response or a timeout.
class api_client {
public:
    explicit api_client(api_options options) : m_options(std::move(options)) {}
    /// \param as_operator whether to send the operator key rather than the caller key.
    api_response get(const std::string& path, bool as_operator = true) const;
    /// \param type the Content-Type of \p body.
    /// \param idempotency_key sent as a header unless it is empty.
    api_response post(const std::string& path, const std::string& body, const std::string& type,
                      bool as_operator = true, const std::string& idempotency_key = {}) const;

private:
    api_options m_options;
};

} // namespace eelgrassdoor::ctl
