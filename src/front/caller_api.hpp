/// \file
/// Defines the HTTP API for callers: completions, the model list and service routes.
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

/// The services that the caller API uses. They must outlive it.
struct caller_api_dependencies {
    service::daemon_context& context;
    service::limit_service& limits;
    service::target_service& targets;
    service::idempotency_service& once;
};

/// Authenticates, rate-limits and forwards the requests of callers. Thread-safe.
class caller_api {
public:
    explicit caller_api(caller_api_dependencies deps);

    /// Registers the endpoints. Call before the server starts; this object must outlive it.
    void add_routes(httplib::Server& server);
    /// The number of requests whose response, streamed ones included, is not complete.
    [[nodiscard]] int in_flight() const { return *m_in_flight; }

private:
    /// The state of one request while it is served.
    struct request_context;

    /// Handle one request; on an error they write the error response.
    void serve_completion(const httplib::Request& in, httplib::Response& out);
    void serve_service(const httplib::Request& in, httplib::Response& out);
    void serve_models(const httplib::Request& in, httplib::Response& out);

    /// Resolves the route, authenticates the caller and takes a token of the customer's rate limit.
    result<void> admit(request_context& c, std::string_view route_name);
    /// Forwards a completion, as an event stream when the request asks for one.
    result<void> run_model(request_context& c);
    /// Forwards a request to a service route, which may exceed the slots of its targets.
    result<void> run_service(request_context& c);
    /// Like send(), but runs a non-idempotent request with an Idempotency-Key header at most once:
    /// a repeated request gets the stored response.
    result<void> send_deduplicated(request_context& c, forward_request request);
    /// Forwards the request and writes the complete response. Copies it to \p response_copy unless
    /// that is null.
    result<void> send(request_context& c, forward_request request,
                      service::stored_response* response_copy);
    void stream(request_context& c, forwarded_response answer, std::string first_events);
    /// Fills in what requests to models and services share. \p serves is the model or route to
    /// forward to.
    forward_request make_request(const request_context& c, std::string serves) const;

    caller_api_dependencies m_deps;
    forwarder m_forwarder;
    std::shared_ptr<std::atomic<int>> m_in_flight;
};

} // namespace eelgrassdoor::front
