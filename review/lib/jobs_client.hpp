/// \file
/// Defines the calls of clients about batch jobs, each on a new connection.
#pragma once

#include "fleet.hpp"
#include "store.hpp"

namespace review {

/// Calls one edge daemon with a key of the tenant. The status is 0 when no answer came.
inline message call_edge(const machine& edge, const std::string& method, const std::string& target,
                         const std::vector<std::pair<std::string, std::string>>& more,
                         const std::string& body, std::int64_t timeout_ms) {
    message out;
    const std::int64_t deadline = now_ms() + timeout_ms;
    const connection_ptr to = dial(edge.front);
    if (!to) {
        return out;
    }
    std::vector<std::pair<std::string, std::string>> fields = {{"Host", "h.example"},
                                                               {"Credential", "key-of-t1"}};
    fields.insert(fields.end(), more.begin(), more.end());
    if (!to->write(encode_request(method, target, fields, body), deadline)) {
        return out;
    }
    std::optional<message> head = read_head(*to, deadline);
    if (head) {
        read_body(*to, *head, deadline);
        out = *head;
    }
    return out;
}

/// The body of a batch job; its items have the ids JOB-0, JOB-1 and so on.
inline std::string job_body(const std::string& job, int items, std::size_t item_bytes) {
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < items; ++i) {
        list.push_back({{"id", job + "-" + std::to_string(i)},
                        {"path", "/j/" + std::to_string(i)},
                        {"headers",
                         {{"Model", "m"},
                          {"Token-Counts", "350,512"},
                          {"Prompt-Prefix", "9c2e41:100,5d07b8:250"}}},
                        {"body", to_base64(std::string(item_bytes, 'b'))},
                        {"tokens", 862}});
    }
    return nlohmann::json{{"items", list}}.dump();
}

/// Submits a job, with one retry at each of the daemons in turn, as clients do. Returns the last
/// status.
inline int submit_job(const std::vector<machine>& edges, const std::string& job,
                      const std::string& body, recorder& record, int tries = 2) {
    int status = 0;
    for (int attempt = 0; attempt < tries && status != 202; ++attempt) {
        const machine& edge = edges[static_cast<std::size_t>(attempt) % edges.size()];
        record.line("submit " + job + " to " + edge.name);
        status = call_edge(edge, "POST", "/j/" + job,
                           {{"Attempt-Id", job},
                            {"Content-Type", "application/json"},
                            {"Deadline-Ms", "4000"}},
                           body, 5'500)
                     .status;
        record.line("submitted " + job + " " + std::to_string(status));
    }
    return status;
}

/// The operator's configuration: a route of batch jobs on the service "s".
inline std::string jobs_configuration(int max_attempts = 3) {
    return R"({"version":1,"routes":[{"name":"jobs","host":"h.example","pathPrefix":"/j/",)"
           R"("kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,)"
           R"("service":"s","maxAttempts":)" +
           std::to_string(max_attempts) +
           R"(,"public":false,"completionTargetMs":18000,)"
           R"("queueTtlS":60,"cap":1300000}],)"
           R"("services":[{"name":"s","healthPath":"/health","maxConnections":370,)"
           R"("protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":119674}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1,)"
           R"("ratePerS":500,"burst":500}]})";
}

} // namespace review
