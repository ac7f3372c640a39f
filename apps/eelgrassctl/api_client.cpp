#include "api_client.hpp"

#include "base/text.hpp"
#include "http/client_pool.hpp"

#include <httplib.h>

namespace eelgrassdoor::ctl {

namespace {

constexpr int connect_timeout_s = 2;
constexpr int read_timeout_s = 30;

httplib::Client make_client(const std::string& server) {
    const http::endpoint endpoint = http::endpoint::parse(server);
    httplib::Client client(endpoint.address, endpoint.port);
    client.set_connection_timeout(connect_timeout_s);
    client.set_read_timeout(read_timeout_s);
    return client;
}

api_response to_response(const httplib::Result& result) {
    if (result) {
        return {result->status, result->body, false};
    }
    const bool sent = result.error() != httplib::Error::Connection &&
                      result.error() != httplib::Error::ConnectionTimeout;
    return {0, {}, sent};
}

httplib::Headers make_headers(const api_options& options, bool as_operator) {
    return {
        {"Authorization", "Bearer " + (as_operator ? options.operator_key : options.caller_key)},
        {"X-Operator", options.operator_name}};
}

} // namespace

std::string api_response::message() const {
    if (status == 0) {
        return may_have_executed ? "no response from the daemon; the request may have been executed"
                                 : "cannot connect to the daemon";
    }
    const nlohmann::json response = json();
    if (response.is_object() && response.contains("error")) {
        return response["error"].value("message", body);
    }
    return body;
}

api_response api_client::get(const std::string& path, bool as_operator) const {
    httplib::Client client = make_client(m_options.server);
    return to_response(client.Get(path, make_headers(m_options, as_operator)));
}

api_response api_client::post(const std::string& path, const std::string& body,
                              const std::string& type, bool as_operator,
                              const std::string& idempotency_key) const {
    httplib::Client client = make_client(m_options.server);
    httplib::Headers headers = make_headers(m_options, as_operator);
    if (!idempotency_key.empty()) {
        headers.emplace("Idempotency-Key", idempotency_key);
    }
    return to_response(client.Post(path, headers, body, type));
}

} // namespace eelgrassdoor::ctl
