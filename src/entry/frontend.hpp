/// \file
/// Defines the front: it decodes, admits and dispatches what callers send.
#pragma once

#include "entry/job_frontend.hpp"
#include "entry/online_proxy.hpp"
#include "net/http_server.hpp"
#include "serving/service_context.hpp"

#include <string>

namespace eelgrassdoor::entry {

using namespace serving;

/// Handles every request on the callers' port.
class front {
public:
    front(host_context& context, job_front& jobs)
        : m_context(context), m_online(context), m_jobs(jobs) {}

    net::task<> handle(net::server_exchange& caller);

private:
    /// The route of a request and the customer that may use it.
    struct admission {
        const config::serving_route* route = nullptr;
        std::string customer;
    };

    /// Finds route and customer in \p plan; an error tells why the request is not allowed.
    static result<admission> admit(const config::serving_plan& plan, const caller_request& request);
    /// Waits for a token of the customer's rate; false when the request was refused or its caller
    /// has gone.
    net::task<bool> wait_for_token(net::server_exchange& caller, const caller_request& request,
                                   const config::serving_route& route, const std::string& customer);
    net::task<> handle_request(net::server_exchange& caller, caller_request request);
    net::task<> refuse(net::server_exchange& caller, const std::string& id, error why);

    host_context& m_context;
    online_service m_online;
    job_front& m_jobs;
};

} // namespace eelgrassdoor::entry
