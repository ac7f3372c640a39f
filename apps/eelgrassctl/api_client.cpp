#include "api_client.hpp"

#include "base/text.hpp"
#include "http/client_pool.hpp"

#include <httplib.h>

namespace eelgrassdoor::ctl {

namespace {

constexpr int connect_timeout_s = 2;
constexpr int read_timeout_s = 30;

httplib::Client connect(const std::string& server) {
    const http::endpoint where = http::endpoint::parse(server);
    httplib::Client client(where.address, where.port);
    client.set_connection_timeout(connect_timeout_s);
    client.set_read_timeout(read_timeout_s);
    return client;
}

api_answer to_answer(const httplib::Result& result) {
    if (result) {
        return {result->status, result->body, false};
    }
    const bool sent = result.error() != httplib::Error::Connection &&
                      result.error() != httplib::Error::ConnectionTimeout;
    return {0, {}, sent};
}

httplib::Headers headers_for(const api_options& options, bool as_operator) {
    return {
        {"Authorization", "Bearer " + (as_operator ? options.operator_key : options.caller_key)},
        {"X-Operator", options.operator_name}};
}

} // namespace

std::string api_answer::message() const {
    if (status == 0) {
        return may_have_run ? "the answer was lost" : "the daemon cannot be reached";
    }
    const nlohmann::json answer = json();
    if (answer.is_object() && answer.contains("error")) {
        return answer["error"].value("message", body);
    }
    return body;
}

api_answer api_client::get(const std::string& path, bool as_operator) const {
    httplib::Client client = connect(m_options.server);
    return to_answer(client.Get(path, headers_for(m_options, as_operator)));
}

api_answer api_client::post(const std::string& path, const std::string& body,
                            const std::string& type, bool as_operator,
                            const std::string& idempotency_key) const {
    httplib::Client client = connect(m_options.server);
    httplib::Headers headers = headers_for(m_options, as_operator);
    if (!idempotency_key.empty()) {
        headers.emplace("Idempotency-Key", idempotency_key);
    }
    return to_answer(client.Post(path, headers, body, type));
}

} // namespace eelgrassdoor::ctl
