#include "entry/job_frontend.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"
#include "entry/request_gate.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// Timeout of a read in addition to the wait that the caller asked for: the daemon may have to
/// commit results to the key-value service before it may list them.
constexpr duration read_timeout = milliseconds(900);
/// Timeout for creating or cancelling a job; the daemon that runs the job retries these for longer
/// than reads.
constexpr duration write_timeout = milliseconds(2700);
/// Extra time for a call that another frontend forwards: one more round trip, and scheduling delay
/// on a busy host.
constexpr duration forwarding_allowance = milliseconds(200);
/// Time before the caller's deadline at which it is told that the outcome is unknown.
constexpr duration reply_allowance = milliseconds(200);
/// Least time that another daemon is given to settle an unknown outcome.
constexpr duration min_call_time = milliseconds(200);
/// Maximum age of a frontend's report that it reaches the store: two digest intervals.
constexpr duration max_store_report_age = milliseconds(1100);
constexpr duration store_timeout = seconds(2);
/// Daemons of each kind (runners and forwarding frontends) that are called before the store is
/// read.
constexpr std::size_t max_daemons_per_kind = 2;
/// Redirects that are followed per destination. The first one may come from an outdated cache of
/// owners, the second one comes from the job's record in the store.
constexpr int max_redirects = 2;
/// Retry delay after a call that no daemon could execute. The registration of a failed daemon
/// expires within three seconds, but another daemon can usually execute the call at once.
constexpr duration unavailable_retry_after = milliseconds(500);
/// Retry delay on a route whose token queue is full.
constexpr duration overload_retry_after = seconds(1);

/// Whether a daemon's response other than a reply means that it has not executed the call: it
/// refused to read it, or its HTTP server answered.
bool is_not_executed(int status) {
    return (status >= 400 && status < 500) || status == 503;
}

/// Whether a reply ends the search for a daemon that executes the call. Once a daemon \p
/// may_have_executed a submission, nothing but an acceptance does.
bool is_definite(const jobs::job_reply& reply, jobs::call_kind kind, bool may_have_executed) {
    if (kind == jobs::call_kind::submit && may_have_executed) {
        return reply.status == jobs::reply_status::ok;
    }
    return reply.status != jobs::reply_status::unavailable &&
           reply.status != jobs::reply_status::unknown && reply.status != jobs::reply_status::moved;
}

/// The error for a job submission that was not accepted.
error submission_error(jobs::reply_status status) {
    switch (status) {
    case jobs::reply_status::refused:
        return {error_code::rate_limited, "too many tokens are queued on the route",
                run_state::not_run, overload_retry_after};
    case jobs::reply_status::invalid:
        return {error_code::invalid_request, "malformed job"};
    case jobs::reply_status::unknown:
        return {error_code::outcome_unknown, "the job may have been accepted", run_state::unknown};
    default:
        return {error_code::unavailable, "no daemon can accept jobs now", run_state::not_run,
                unavailable_retry_after};
    }
}

/// The error for a failed call about an existing job.
error call_error(jobs::reply_status status) {
    switch (status) {
    case jobs::reply_status::not_found:
        return {error_code::not_found, "no such job or item"};
    case jobs::reply_status::unknown:
        return {error_code::outcome_unknown, "the call may have taken effect", run_state::unknown};
    default:
        return {error_code::unavailable, "the job is not available now", run_state::not_run,
                unavailable_retry_after};
    }
}

} // namespace

std::vector<std::string> job_frontend::runner_endpoints(std::string_view job) const {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [host, member] : m_context.messenger.members()) {
        if (member.runs_jobs) {
            ranked.emplace_back(rendezvous_weight(stable_hash(job), host), member.endpoint);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> out;
    if (const std::string* known = m_owners.find(job)) {
        out.push_back(*known);
    }
    for (const auto& [weight, endpoint] : ranked) {
        if (std::find(out.begin(), out.end(), endpoint) == out.end()) {
            out.push_back(endpoint);
        }
    }
    return out;
}

std::vector<std::string> job_frontend::reachable_frontends(std::string_view job) const {
    const fleet::peer_messenger& messenger = m_context.messenger;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [host, member] : messenger.members()) {
        const bool eligible = member.serves_callers && !member.runs_jobs &&
                              messenger.receives_directly_from(member.endpoint) &&
                              messenger.peer_reaches_store(host, max_store_report_age);
        if (eligible) {
            ranked.emplace_back(rendezvous_weight(stable_hash(job), host), member.endpoint);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> out;
    for (const auto& [weight, endpoint] : ranked) {
        out.push_back(endpoint);
    }
    return out;
}

std::vector<job_frontend::call_destination> job_frontend::destinations(std::string_view job,
                                                                       call_origin origin) const {
    std::vector<call_destination> reachable;
    std::vector<call_destination> unreachable;
    for (const std::string& endpoint : runner_endpoints(job)) {
        const bool is_reachable = m_context.messenger.receives_directly_from(endpoint);
        (is_reachable ? reachable : unreachable).push_back({endpoint});
    }
    reachable.resize(std::min(reachable.size(), max_daemons_per_kind));
    std::vector<call_destination> out = std::move(reachable);
    if (origin == call_origin::from_caller && !unreachable.empty()) {
        std::vector<std::string> frontends = reachable_frontends(job);
        frontends.resize(std::min(frontends.size(), max_daemons_per_kind));
        for (std::string& endpoint : frontends) {
            out.push_back({std::move(endpoint), true});
        }
    }
    // Fallback when all better paths failed, and before the first digests arrive, when every runner
    // seems unreachable.
    for (std::size_t i = 0; i < unreachable.size() && out.size() < max_daemons_per_kind; ++i) {
        out.push_back(std::move(unreachable[i]));
    }
    return out;
}

net::task<jobs::job_reply> job_frontend::call_daemon(const call_destination& destination,
                                                     const jobs::job_call& call,
                                                     net::server_exchange& exchange,
                                                     time_point reply_by) {
    net::http_request request;
    request.method = "POST";
    request.target = destination.forwards ? jobs::forwarded_call_path : jobs::job_call_path;
    request.body = jobs::encode(call);
    const duration timeout =
        call.kind == jobs::call_kind::submit || call.kind == jobs::call_kind::cancel
            ? write_timeout
            : milliseconds(call.wait_ms) + read_timeout;
    const duration extra_time = destination.forwards ? forwarding_allowance : duration::zero();
    jobs::job_reply failed;
    const time_point deadline = std::min(m_context.clock() + timeout + extra_time, reply_by);
    net::call_limits limits{.deadline = deadline, .has_room = [&exchange](std::size_t bytes) {
                                return exchange.reserve_response(bytes);
                            }};
    result<net::http_response> response =
        co_await m_client.call(destination.endpoint, std::move(request), std::move(limits));
    if (!response) {
        failed.status = response.error().run == run_state::not_run ? jobs::reply_status::unavailable
                                                                   : jobs::reply_status::unknown;
        co_return failed;
    }
    std::optional<jobs::job_reply> reply = jobs::decode_reply(response.value().body);
    if (reply && response.value().status == 200) {
        co_return std::move(*reply);
    }
    failed.status = is_not_executed(response.value().status) ? jobs::reply_status::unavailable
                                                             : jobs::reply_status::unknown;
    co_return failed;
}

net::task<jobs::job_reply> job_frontend::call_owner(const std::string& endpoint,
                                                    jobs::job_call call,
                                                    net::server_exchange& exchange,
                                                    time_point reply_by) {
    call.redirected = true;
    m_owners.find_or_create(call.job) = endpoint;
    if (!m_context.messenger.receives_directly_from(endpoint)) {
        // An unavailable reply makes call_runners() try the next destination.
        co_return jobs::job_reply{};
    }
    const call_destination owner{endpoint};
    co_return co_await call_daemon(owner, call, exchange, reply_by);
}

net::task<jobs::job_reply> job_frontend::call_runners(jobs::job_call call, call_origin origin,
                                                      net::server_exchange& exchange,
                                                      time_point reply_by) {
    jobs::job_reply last;
    bool unknown = false;
    const std::vector<call_destination> all = destinations(call.job, origin);
    for (const call_destination& destination : all) {
        if (unknown && reply_by - m_context.clock() < min_call_time) {
            break;
        }
        last = co_await call_daemon(destination, call, exchange, reply_by);
        for (int redirect = 0; redirect < max_redirects && last.status == jobs::reply_status::moved;
             ++redirect) {
            const std::string owner = last.owner_endpoint;
            last = co_await call_owner(owner, call, exchange, reply_by);
        }
        if (exchange.lacks_memory()) {
            co_return last;
        }
        unknown = unknown || last.status == jobs::reply_status::unknown;
        if (is_definite(last, call.kind, unknown)) {
            co_return last;
        }
        m_owners.erase(call.job);
    }
    last.status = unknown ? jobs::reply_status::unknown : jobs::reply_status::unavailable;
    co_return last;
}

net::task<> job_frontend::respond_with_error(net::server_exchange& exchange, const std::string& job,
                                             error why) {
    m_context.log.write(
        observe::event::request_refused, job,
        {{"reason", why.message}, {"status", std::to_string(http_status(why.code))}});
    net::http_response response = m_context.codec.encode_error(why);
    co_await exchange.respond(std::move(response));
}

net::task<> job_frontend::respond_to_call(net::server_exchange& exchange, const std::string& job,
                                          jobs::reply_status status,
                                          net::http_response success_response) {
    if (status == jobs::reply_status::ok) {
        co_await exchange.respond(std::move(success_response));
        co_return;
    }
    const error why = exchange.lacks_memory() ? refused_for_memory() : call_error(status);
    co_await respond_with_error(exchange, job, why);
}

net::task<> job_frontend::submit(net::server_exchange& exchange, caller_request request,
                                 const config::serving_route& route, std::string customer) {
    jobs::job_call call;
    call.kind = jobs::call_kind::submit;
    call.job = request.id;
    call.customer = std::move(customer);
    call.route = route.name;
    call.host = request.host;
    call.body = std::move(request.content.body);
    const std::string job = call.job;
    const time_point reply_by = request.time_left
                                    ? m_context.clock() + *request.time_left - reply_allowance
                                    : time_point::max();
    exchange.set_may_have_run();
    const jobs::job_reply reply =
        co_await execute(std::move(call), call_origin::from_caller, exchange, reply_by);
    if (reply.status == jobs::reply_status::ok) {
        net::http_response accepted;
        accepted.status = 202;
        co_await exchange.respond(std::move(accepted));
        co_return;
    }
    const error why = submission_error(reply.status);
    co_await respond_with_error(exchange, job, why);
}

net::task<jobs::job_reply> job_frontend::read_from_store(jobs::job_call call,
                                                         net::server_exchange& exchange) {
    jobs::job_reply reply;
    if (!exchange.reserve_response(jobs::store_read_bytes)) {
        co_return reply;
    }
    const result<std::optional<jobs::versioned_state>> known = co_await m_repository.read(call.job);
    if (!known) {
        co_return reply;
    }
    if (!known.value() || known.value()->state.customer != call.customer) {
        reply.status = jobs::reply_status::not_found;
        co_return reply;
    }
    if (call.kind == jobs::call_kind::read) {
        result<result_page> page =
            co_await m_repository.read_page(known.value()->state, call.after, call.max_page_bytes);
        if (page) {
            reply.status = jobs::reply_status::ok;
            reply.page = std::move(page.value());
        }
        co_return reply;
    }
    result<std::optional<std::string>> body =
        co_await m_repository.read_item_body(call.job, call.item);
    if (body) {
        reply.status = body.value() ? jobs::reply_status::ok : jobs::reply_status::not_found;
        reply.body = std::move(body.value()).value_or(std::string());
    }
    co_return reply;
}

net::task<jobs::job_reply> job_frontend::cancel_in_store(jobs::job_call call) {
    jobs::job_reply reply;
    const result<bool> ended =
        co_await m_repository.cancel(call.job, call.customer, m_context.clock() + store_timeout);
    if (ended) {
        reply.status = ended.value() ? jobs::reply_status::ok : jobs::reply_status::not_found;
    } else if (ended.error().run != run_state::not_run) {
        reply.status = jobs::reply_status::unknown;
    }
    co_return reply;
}

net::task<jobs::job_reply> job_frontend::execute(jobs::job_call call, call_origin origin,
                                                 net::server_exchange& exchange,
                                                 time_point reply_by) {
    jobs::job_reply reply = co_await call_runners(call, origin, exchange, reply_by);
    const bool unavailable = reply.status == jobs::reply_status::unavailable;
    const bool inconclusive = unavailable || reply.status == jobs::reply_status::unknown;
    switch (call.kind) {
    case jobs::call_kind::read:
    case jobs::call_kind::read_item:
        if (inconclusive && !exchange.lacks_memory()) {
            reply = co_await read_from_store(std::move(call), exchange);
        }
        break;
    case jobs::call_kind::cancel:
        if (unavailable) {
            reply = co_await cancel_in_store(std::move(call));
        }
        break;
    case jobs::call_kind::submit:
    case jobs::call_kind::adopt:
        break;
    }
    co_return reply;
}

net::task<> job_frontend::read(net::server_exchange& exchange, job_read request,
                               std::string customer) {
    jobs::job_call call;
    call.kind = jobs::call_kind::read;
    call.job = request.job;
    call.customer = std::move(customer);
    call.after = request.after;
    call.wait_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(request.wait).count());
    call.max_page_bytes = exchange.plan_response(jobs::min_page_bytes, jobs::max_page_bytes);
    jobs::job_reply reply = co_await execute(std::move(call), call_origin::from_caller, exchange);
    net::http_response response = m_context.codec.encode_results(reply.page);
    // The response may take long to be sent, and has what the page has.
    reply.page = {};
    co_await respond_to_call(exchange, request.job, reply.status, std::move(response));
}

net::task<> job_frontend::read_item(net::server_exchange& exchange, item_read request,
                                    std::string customer) {
    jobs::job_call call;
    call.kind = jobs::call_kind::read_item;
    call.job = request.job;
    call.customer = std::move(customer);
    call.item = request.item;
    jobs::job_reply reply = co_await execute(std::move(call), call_origin::from_caller, exchange);
    net::http_response response;
    response.status = 200;
    response.headers.set("Content-Type", "application/octet-stream");
    response.body = std::move(reply.body);
    co_await respond_to_call(exchange, request.job, reply.status, std::move(response));
}

net::task<> job_frontend::cancel(net::server_exchange& exchange, job_cancellation request,
                                 std::string customer) {
    jobs::job_call call;
    call.kind = jobs::call_kind::cancel;
    call.job = request.job;
    call.customer = std::move(customer);
    exchange.set_may_have_run();
    const jobs::job_reply reply =
        co_await execute(std::move(call), call_origin::from_caller, exchange);
    net::http_response response;
    response.status = 200;
    co_await respond_to_call(exchange, request.job, reply.status, std::move(response));
}

net::task<> job_frontend::handle(net::server_exchange& exchange, decoded_request request,
                                 std::string customer) {
    if (auto* reading = std::get_if<job_read>(&request)) {
        co_await read(exchange, std::move(*reading), std::move(customer));
    } else if (auto* item = std::get_if<item_read>(&request)) {
        co_await read_item(exchange, std::move(*item), std::move(customer));
    } else if (auto* cancellation = std::get_if<job_cancellation>(&request)) {
        co_await cancel(exchange, std::move(*cancellation), std::move(customer));
    }
}

} // namespace eelgrassdoor::entry
