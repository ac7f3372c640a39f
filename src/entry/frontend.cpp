#include "entry/frontend.hpp"

#include "base/text.hpp"
#include "entry/waiting_request.hpp"
#include "serving/crash_detector.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Shorter waits are the round trip to the daemon that holds the customer's tokens.
constexpr duration min_logged_wait = milliseconds(20);
/// Multiple of the mean service time of a route within which nearly all of its requests end.
constexpr int service_time_allowance = 2;
/// Age of the plan up to which a request is denied by it. Changes of the configuration take effect
/// within two seconds.
constexpr duration max_plan_age = seconds(1);

error no_configuration_error() {
    return {error_code::unavailable, "no configuration is in force yet", run_state::not_run,
            seconds(1)};
}

/// For a request that the plan does not allow while a newer one may. Other hosts may have it.
error outdated_configuration_error() {
    return {error_code::unavailable, "the configuration may be outdated", run_state::not_run,
            milliseconds(250)};
}

/// The HTTP request that \p decoded contains.
const caller_request& request_of(const decoded_request& decoded) {
    return std::visit(
        [](const auto& each) -> const caller_request& {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, caller_request>) {
                return each;
            } else {
                return each.request;
            }
        },
        decoded);
}

/// Returns the customer that the request's API key belongs to; an empty name when \p plan uses no
/// keys. A missing or unknown key is an error of code unauthorized.
result<std::string> authenticate(const config::serving_plan& plan, const caller_request& request) {
    if (!plan.requires_keys) {
        return std::string();
    }
    const auto key = plan.keys.find(request.key);
    if (key == plan.keys.end()) {
        return error{error_code::unauthorized, request.key.empty() ? "the request has no API key"
                                                                   : "the API key is not valid"};
    }
    return key->second;
}

} // namespace

result<frontend::admission> frontend::admit(const config::serving_plan& plan,
                                            const caller_request& request) {
    const config::serving_route* route = plan.match(request.host, request.content.path());
    if (route == nullptr) {
        return error{error_code::not_found, "no route matches this host name and path"};
    }
    if (route->allows_anonymous) {
        return admission{route, {}};
    }
    BOOST_OUTCOME_TRY(customer, authenticate(plan, request));
    return admission{route, std::move(customer)};
}

template <typename Result>
net::task<result<Result>>
frontend::decide(std::function<result<Result>(const config::serving_plan&)> rule,
                 config::serving_plan_ptr& plan) {
    plan = m_context.plan;
    if (!plan) {
        co_return no_configuration_error();
    }
    result<Result> decision = rule(*plan);
    if (decision) {
        co_return decision;
    }
    const time_point since = m_context.clock() - max_plan_age;
    const bool is_confirmed = co_await m_confirm_plan(since);
    if (!is_confirmed) {
        co_return outdated_configuration_error();
    }
    plan = m_context.plan;
    co_return rule(*plan);
}

void frontend::log_refusal(const std::string& id, const error& why) const {
    const std::uint64_t version = m_context.plan ? m_context.plan->version : 0;
    m_context.log.write(observe::event::request_refused, id,
                        {{"reason", why.message},
                         {"status", std::to_string(http_status(why.code))},
                         {"configuration", std::to_string(version)}});
    m_context.metrics.count(
        str_cat("refusals_total{reason=\"", std::string(to_string(why.code)), "\"}"));
}

net::task<> frontend::refuse(net::server_exchange& exchange, const std::string& id, error why) {
    log_refusal(id, why);
    net::http_response response = m_context.codec.encode_error(why);
    co_await exchange.respond(std::move(response));
}

net::task<> frontend::handle(net::server_exchange& exchange) {
    result<decoded_request> decoded = m_context.codec.decode(std::move(exchange.request()));
    if (!decoded) {
        const std::string no_id;
        co_await refuse(exchange, no_id, decoded.error());
        co_return;
    }
    if (!m_gate.accepts_requests()) {
        const error stopping = refused_by_shutdown();
        co_await refuse(exchange, request_of(decoded.value()).id, stopping);
        co_return;
    }
    if (auto* request = std::get_if<caller_request>(&decoded.value())) {
        co_await handle_request(exchange, std::move(*request));
        co_return;
    }
    const std::string id = request_of(decoded.value()).id;
    config::serving_plan_ptr plan;
    const std::function<result<std::string>(const config::serving_plan&)> rule =
        [&decoded](const config::serving_plan& each) {
            return authenticate(each, request_of(decoded.value()));
        };
    result<std::string> customer = co_await decide(rule, plan);
    if (!customer) {
        co_await refuse(exchange, id, customer.error());
        co_return;
    }
    exchange.set_label({id, customer.value()});
    co_await m_jobs.handle(exchange, std::move(decoded.value()), customer.value());
}

bool frontend::can_finish(const caller_request& request, const config::serving_route& route) const {
    if (route.accepts_jobs) {
        return true;
    }
    const duration time_left = std::min(route.timeout, request.time_left.value_or(route.timeout));
    const duration expected_time =
        service_time_allowance * m_context.service_times.mean(route.name);
    return std::min(time_left, expected_time) <= m_gate.time_left();
}

net::task<bool> frontend::wait_for_token(net::server_exchange& exchange,
                                         const caller_request& request,
                                         const config::serving_route& route,
                                         const std::string& customer) {
    const auto cancellation = std::make_shared<fleet::wait_cancellation>(m_context.executor);
    exchange.on_client_disconnect([cancellation] { cancellation->cancel(); });
    const time_point asked_at = m_context.clock();
    const routing::waiting_request waiting = make_waiting_request(m_context, request, route);
    const fleet::token_outcome outcome =
        co_await m_context.messenger.tokens().wait(customer, waiting, cancellation);
    const duration waited = m_context.clock() - asked_at;
    if (!outcome.taken || waited >= min_logged_wait) {
        m_context.log.write(observe::event::request_waited, request.id,
                            {{"customer", customer},
                             {"token", outcome.taken ? "taken" : "none"},
                             {"waited_ms", std::to_string(to_ms(waited))},
                             {"predicted_ms", std::to_string(to_ms(outcome.predicted))},
                             {"time_left_ms", std::to_string(to_ms(waiting.time_left))},
                             {"passed_ms", std::to_string(to_ms(waiting.elapsed))}});
    }
    if (exchange.interrupted()) {
        log_refusal(request.id, refused_by_shutdown());
        co_return false;
    }
    if (exchange.client_disconnected()) {
        m_context.log.write(observe::event::caller_left, request.id, {{"customer", customer}});
        co_return false;
    }
    if (outcome.taken) {
        co_return true;
    }
    const error rate_error{error_code::rate_limited,
                           str_cat("customer ", customer, " exceeds its rate limit"),
                           run_state::not_run, outcome.retry_after};
    co_await refuse(exchange, request.id, rate_error);
    co_return false;
}

net::task<> frontend::handle_request(net::server_exchange& exchange, caller_request request) {
    // A running request keeps its plan even when a newer one takes effect.
    config::serving_plan_ptr plan;
    const std::function<result<admission>(const config::serving_plan&)> rule =
        [&request](const config::serving_plan& each) { return admit(each, request); };
    result<admission> admitted = co_await decide(rule, plan);
    if (!admitted) {
        co_await refuse(exchange, request.id, admitted.error());
        co_return;
    }
    const std::string customer = admitted.value().customer;
    exchange.set_label({request.id, customer});
    if (has_quarantine(m_context)) {
        const crash_suspects suspects = suspects_of(request, customer);
        const std::optional<error> quarantined = quarantine_error(m_context, suspects);
        if (quarantined && !may_try(m_context, suspects)) {
            co_await refuse(exchange, request.id, *quarantined);
            co_return;
        }
    }
    if (!can_finish(request, *admitted.value().route)) {
        const error stopping = refused_by_shutdown();
        co_await refuse(exchange, request.id, stopping);
        co_return;
    }
    const bool is_rate_limited = !customer.empty() && !admitted.value().route->accepts_jobs;
    if (is_rate_limited && !m_context.messenger.tokens().try_take(customer)) {
        const bool token_taken =
            co_await wait_for_token(exchange, request, *admitted.value().route, customer);
        if (!token_taken) {
            co_return;
        }
        // The key or the route may have been removed during the wait.
        plan = m_context.plan;
        admitted = admit(*plan, request);
        if (!admitted) {
            co_await refuse(exchange, request.id, admitted.error());
            co_return;
        }
        if (!can_finish(request, *admitted.value().route)) {
            const error stopping = refused_by_shutdown();
            co_await refuse(exchange, request.id, stopping);
            co_return;
        }
    }
    const admission granted = admitted.value();
    if (granted.route->accepts_jobs) {
        co_await m_jobs.submit(exchange, std::move(request), *granted.route, granted.customer);
        co_return;
    }
    co_await m_online.run(exchange, std::move(request), *granted.route, granted.customer);
}

} // namespace eelgrassdoor::entry
