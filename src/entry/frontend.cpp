#include "entry/frontend.hpp"

#include "base/text.hpp"
#include "entry/waiting_request.hpp"

namespace eelgrassdoor::entry {

namespace {

error no_configuration() {
    return {error_code::unavailable, "no configuration is in force yet", run_state::not_run,
            seconds(1)};
}

/// The request by which a call about a job came.
const caller_request& sender_of(const caller_call& call) {
    return std::visit(
        [](const auto& each) -> const caller_request& {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, caller_request>) {
                return each;
            } else {
                return each.from;
            }
        },
        call);
}

/// The customer whose key came with a request.
result<std::string> find_customer(const config::serving_plan& plan, const caller_request& request) {
    if (!plan.keyed) {
        return std::string();
    }
    const auto key = plan.keys.find(request.key);
    if (key == plan.keys.end()) {
        return error{error_code::unauthorized,
                     request.key.empty() ? "the request shows no key" : "the key is not in force"};
    }
    return key->second;
}

} // namespace

result<front::admission> front::admit(const config::serving_plan& plan,
                                      const caller_request& request) {
    const config::serving_route* route = plan.match(request.host, request.content.path());
    if (route == nullptr) {
        return error{error_code::not_found, "no route has this host name and path"};
    }
    if (route->open_to_all) {
        return admission{route, {}};
    }
    BOOST_OUTCOME_TRY(customer, find_customer(plan, request));
    return admission{route, std::move(customer)};
}

net::task<> front::refuse(net::server_exchange& caller, const std::string& id, error why) {
    const std::uint64_t version = m_context.plan ? m_context.plan->version : 0;
    m_context.log.write(observe::event::request_refused, id,
                        {{"reason", why.message},
                         {"status", std::to_string(http_status(why.code))},
                         {"configuration", std::to_string(version)}});
    m_context.numbers.count(
        str_cat("refusals_total{reason=\"", std::string(to_string(why.code)), "\"}"));
    net::http_response response = m_context.wire.encode_error(why);
    co_await caller.respond(std::move(response));
}

net::task<> front::handle(net::server_exchange& caller) {
    result<caller_call> decoded = m_context.wire.decode(std::move(caller.request()));
    if (!decoded) {
        const std::string no_id;
        co_await refuse(caller, no_id, decoded.error());
        co_return;
    }
    if (auto* request = std::get_if<caller_request>(&decoded.value())) {
        co_await handle_request(caller, std::move(*request));
        co_return;
    }
    const std::string id = sender_of(decoded.value()).id;
    const config::serving_plan_ptr plan = m_context.plan;
    result<std::string> customer = plan ? find_customer(*plan, sender_of(decoded.value()))
                                        : result<std::string>(no_configuration());
    if (!customer) {
        co_await refuse(caller, id, customer.error());
        co_return;
    }
    co_await m_jobs.handle(caller, std::move(decoded.value()), customer.value());
}

net::task<bool> front::wait_for_token(net::server_exchange& caller, const caller_request& request,
                                      const config::serving_route& route,
                                      const std::string& customer) {
    const auto presence = std::make_shared<fleet::caller_presence>(m_context.executor);
    caller.on_caller_left([presence] { presence->leave(); });
    const time_point asked_at = m_context.clock();
    const routing::waiting_request terms = waiting_terms(m_context, request, route);
    const fleet::token_outcome outcome =
        co_await m_context.link.tokens().wait(customer, terms, presence);
    m_context.log.write(observe::event::request_waited, request.id,
                        {{"customer", customer},
                         {"token", outcome.taken ? "taken" : "none"},
                         {"waited_ms", std::to_string(to_ms(m_context.clock() - asked_at))},
                         {"predicted_ms", std::to_string(to_ms(outcome.predicted))},
                         {"time_left_ms", std::to_string(to_ms(terms.time_left))},
                         {"passed_ms", std::to_string(to_ms(terms.passed))}});
    if (caller.caller_left()) {
        m_context.log.write(observe::event::caller_left, request.id, {{"customer", customer}});
        co_return false;
    }
    if (outcome.taken) {
        co_return true;
    }
    const error over_rate{error_code::rate_limited,
                          str_cat("customer ", customer, " is over its rate"), run_state::not_run,
                          outcome.retry_after};
    co_await refuse(caller, request.id, over_rate);
    co_return false;
}

net::task<> front::handle_request(net::server_exchange& caller, caller_request request) {
    // A request that runs keeps its plan, also when a newer one comes into force.
    config::serving_plan_ptr plan = m_context.plan;
    result<admission> admitted =
        plan ? admit(*plan, request) : result<admission>(no_configuration());
    if (!admitted) {
        co_await refuse(caller, request.id, admitted.error());
        co_return;
    }
    const std::string customer = admitted.value().customer;
    const bool counts = !customer.empty() && !admitted.value().route->takes_jobs;
    if (counts && !m_context.link.tokens().try_take(customer)) {
        const bool inside_rate =
            co_await wait_for_token(caller, request, *admitted.value().route, customer);
        if (!inside_rate) {
            co_return;
        }
        // The key or the route may be gone since.
        plan = m_context.plan;
        admitted = admit(*plan, request);
        if (!admitted) {
            co_await refuse(caller, request.id, admitted.error());
            co_return;
        }
    }
    const admission run = admitted.value();
    if (run.route->takes_jobs) {
        co_await m_jobs.submit(caller, std::move(request), *run.route, run.customer);
        co_return;
    }
    co_await m_online.run(caller, std::move(request), *run.route, run.customer);
}

} // namespace eelgrassdoor::entry
