/// \file
/// Defines the HTTP interface of callers: completions, models and plain services.
#pragma once

#include "front/access.hpp"
#include "front/forwarder.hpp"
#include "http/server.hpp"
#include "service/daemon_context.hpp"
#include "service/idempotency_service.hpp"
#include "service/limit_service.hpp"
#include "service/target_service.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace eelgrassdoor::front {

/// What the caller API works with.
struct caller_api_parts {
    service::runtime& shared;
    service::limit_service& limits;
    service::target_service& targets;
    service::once_service& once;
};

/// Serves callers. Thread-safe.
class caller_api {
public:
    explicit caller_api(caller_api_parts parts);

    void add_routes(httplib::Server& server);
    /// The requests whose answer has not ended.
    [[nodiscard]] int in_flight() const { return *m_in_flight; }

private:
    /// A request that is being served.
    struct call;

    void serve_completion(const httplib::Request& in, httplib::Response& out);
    void serve_service(const httplib::Request& in, httplib::Response& out);
    void serve_models(const httplib::Request& in, httplib::Response& out);

    /// Finds route and caller and takes a token of the rate.
    result<void> admit(call& c, std::string_view route_name);
    result<void> run_model(call& c);
    result<void> run_service(call& c);
    result<void> send_once(call& c, forward_request request);
    result<void> send(call& c, forward_request request, service::stored_answer* copy);
    void stream(call& c, forwarded answer, std::string first_events);
    forward_request make_request(const call& c, std::string serves) const;

    caller_api_parts m_parts;
    forwarder m_forwarder;
    std::shared_ptr<std::atomic<int>> m_in_flight;
};

} // namespace eelgrassdoor::front
