/// \file
/// Defines the frontend, which decodes, admits and dispatches the requests of callers.
#pragma once

#include "entry/job_frontend.hpp"
#include "entry/online_proxy.hpp"
#include "entry/request_gate.hpp"
#include "net/http_server.hpp"
#include "serving/service_context.hpp"

#include <functional>
#include <string>

namespace eelgrassdoor::entry {

using namespace serving;

/// Handles every request on the callers' port. Runs on the event loop's thread; \p context and
/// \p jobs must outlive it.
class frontend {
public:
    /// Whether the serving plan holds every configuration acknowledged before \p since; asks the
    /// key-value service if that is not known.
    using confirm_plan_fn = std::function<net::task<bool>(time_point since)>;

    frontend(service_context& context, job_frontend& jobs, request_gate gate,
             confirm_plan_fn confirm_plan)
        : m_context(context), m_online(context), m_jobs(jobs), m_gate(std::move(gate)),
          m_confirm_plan(std::move(confirm_plan)) {}

    /// Decodes one request, responds to it and writes the outcome to the decision log. A failure is
    /// reported in an error response unless the caller has disconnected.
    net::task<> handle(net::server_exchange& exchange);

private:
    /// The route of a request and its customer; the customer is empty on routes open to all and
    /// when the configuration uses no keys.
    struct admission {
        const config::serving_route* route = nullptr;
        std::string customer;
    };

    /// Applies \p rule to the plan in force and writes the plan to \p plan. An error of the rule
    /// rests on what the plan does not contain, so it stands only once the plan is confirmed to be
    /// recent; until then the result is that the request was not run.
    template <typename Result>
    net::task<result<Result>>
    decide(std::function<result<Result>(const config::serving_plan&)> rule,
           config::serving_plan_ptr& plan);
    /// Finds route and customer in \p plan. Error codes: not_found without a matching route,
    /// unauthorized without a valid key.
    static result<admission> admit(const config::serving_plan& plan, const caller_request& request);
    /// Whether a request can be expected to end before the daemon stops.
    [[nodiscard]] bool can_finish(const caller_request& request,
                                  const config::serving_route& route) const;
    /// Waits for a rate-limit token of \p customer. Returns false when the caller has
    /// disconnected, or when no token was obtained; the refusal has then been sent.
    net::task<bool> wait_for_token(net::server_exchange& exchange, const caller_request& request,
                                   const config::serving_route& route, const std::string& customer);
    net::task<> handle_request(net::server_exchange& exchange, caller_request request);
    void log_refusal(const std::string& id, const error& why) const;
    net::task<> refuse(net::server_exchange& exchange, const std::string& id, error why);

    service_context& m_context;
    online_proxy m_online;
    job_frontend& m_jobs;
    request_gate m_gate;
    confirm_plan_fn m_confirm_plan;
};

} // namespace eelgrassdoor::entry
