#include "base/digest.hpp"
#include "base/text.hpp"
#include "entry/job_frontend.hpp"

#include <algorithm>

namespace eelgrassdoor::entry {

namespace {

/// How long a daemon may take to answer beyond the wait that the caller asked for. It may have to
/// commit to the key-value service first.
constexpr duration read_timeout = milliseconds(900);
/// Creating or ending a job is repeated for longer inside the daemon that runs it.
constexpr duration change_timeout = milliseconds(2700);
/// What a call through another front may take longer: a round trip and a busy host.
constexpr duration passed_on_time = milliseconds(200);
/// How old a front's word that it reaches the store may be: two repeats of a digest.
constexpr duration store_news_age = milliseconds(1100);
constexpr duration store_timeout = seconds(2);
/// Daemons of each kind that are asked before the store is read.
constexpr std::size_t max_asked = 2;
/// Owners that are asked one after the other: the second one is by the store's record.
constexpr int max_hops = 2;
/// When a caller may come back after a call that no daemon could answer: a registration of a daemon
/// that is gone lapses within three seconds, and another one answers mostly at once.
constexpr duration unavailable_retry = milliseconds(500);
/// When tokens may have become free on a full route.
constexpr duration full_retry = seconds(1);

/// Why a job was not accepted.
error submission_error(jobs::reply_status status) {
    switch (status) {
    case jobs::reply_status::refused:
        return {error_code::rate_limited, "too many tokens wait on the route", run_state::not_run,
                full_retry};
    case jobs::reply_status::invalid:
        return {error_code::invalid_request, "malformed job"};
    case jobs::reply_status::unknown:
        return {error_code::outcome_unknown, "the job may have been accepted", run_state::unknown};
    default:
        return {error_code::unavailable, "no daemon can accept jobs now", run_state::not_run,
                unavailable_retry};
    }
}

/// Why a call about an existing job failed.
error call_error(jobs::reply_status status) {
    switch (status) {
    case jobs::reply_status::not_found:
        return {error_code::not_found, "there is no such job or item"};
    case jobs::reply_status::unknown:
        return {error_code::outcome_unknown, "the call may have taken effect", run_state::unknown};
    default:
        return {error_code::unavailable, "the job cannot be read now", run_state::not_run,
                unavailable_retry};
    }
}

} // namespace

std::vector<std::string> job_front::runners(std::string_view job) const {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [host, member] : m_context.link.members()) {
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

std::vector<std::string> job_front::fronts_in_touch(std::string_view job) const {
    const fleet::link& link = m_context.link;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [host, member] : link.members()) {
        const bool helps = member.serves_callers && !member.runs_jobs &&
                           link.hears_directly(member.endpoint) &&
                           link.hears_with_store(host, store_news_age);
        if (helps) {
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

std::vector<job_front::helper> job_front::helpers(std::string_view job, call_path how) const {
    std::vector<helper> in_touch;
    std::vector<helper> silent;
    for (const std::string& endpoint : runners(job)) {
        const bool heard = m_context.link.hears_directly(endpoint);
        (heard ? in_touch : silent).push_back({endpoint});
    }
    in_touch.resize(std::min(in_touch.size(), max_asked));
    std::vector<helper> out = std::move(in_touch);
    if (how == call_path::from_caller && !silent.empty()) {
        std::vector<std::string> fronts = fronts_in_touch(job);
        fronts.resize(std::min(fronts.size(), max_asked));
        for (std::string& endpoint : fronts) {
            out.push_back({std::move(endpoint), true});
        }
    }
    // Before any daemon was heard, and when all paths that look better have failed.
    for (std::size_t i = 0; i < silent.size() && out.size() < max_asked; ++i) {
        out.push_back(std::move(silent[i]));
    }
    return out;
}

net::task<jobs::job_reply> job_front::ask_one(const helper& whom, const jobs::job_call& call) {
    net::http_request request;
    request.method = "POST";
    request.target = whom.passes_on ? jobs::passed_on_call_path : jobs::job_call_path;
    request.body = jobs::encode(call);
    const duration timeout =
        call.kind == jobs::call_kind::submit || call.kind == jobs::call_kind::end
            ? change_timeout
            : milliseconds(call.wait_ms) + read_timeout;
    const duration hop = whom.passes_on ? passed_on_time : duration::zero();
    jobs::job_reply failed;
    result<net::http_response> response = co_await m_client.call(whom.endpoint, std::move(request),
                                                                 m_context.clock() + timeout + hop);
    if (!response) {
        failed.status = response.error().run == run_state::not_run ? jobs::reply_status::unavailable
                                                                   : jobs::reply_status::unknown;
        co_return failed;
    }
    std::optional<jobs::job_reply> reply = jobs::decode_reply(response.value().body);
    co_return reply ? std::move(*reply) : failed;
}

net::task<jobs::job_reply> job_front::ask_owner(const std::string& endpoint, jobs::job_call call) {
    call.redirected = true;
    m_owners.at(call.job) = endpoint;
    if (!m_context.link.hears_directly(endpoint)) {
        // Another front is asked next.
        co_return jobs::job_reply{};
    }
    const helper owner{endpoint};
    co_return co_await ask_one(owner, call);
}

net::task<jobs::job_reply> job_front::ask(jobs::job_call call, call_path how) {
    jobs::job_reply last;
    bool unknown = false;
    const std::vector<helper> all = helpers(call.job, how);
    for (const helper& whom : all) {
        last = co_await ask_one(whom, call);
        for (int hop = 0; hop < max_hops && last.status == jobs::reply_status::moved; ++hop) {
            const std::string owner = last.owner_endpoint;
            last = co_await ask_owner(owner, call);
        }
        unknown = unknown || last.status == jobs::reply_status::unknown;
        const bool settled = last.status != jobs::reply_status::unavailable &&
                             last.status != jobs::reply_status::unknown &&
                             last.status != jobs::reply_status::moved;
        if (settled) {
            co_return last;
        }
        m_owners.erase(call.job);
    }
    last.status = unknown ? jobs::reply_status::unknown : jobs::reply_status::unavailable;
    co_return last;
}

net::task<> job_front::answer_error(net::server_exchange& caller, const std::string& job,
                                    error why) {
    m_context.log.write(
        observe::event::request_refused, job,
        {{"reason", why.message}, {"status", std::to_string(http_status(why.code))}});
    net::http_response response = m_context.wire.encode_error(why);
    co_await caller.respond(std::move(response));
}

net::task<> job_front::answer_call(net::server_exchange& caller, const std::string& job,
                                   jobs::reply_status status, net::http_response when_ok) {
    if (status == jobs::reply_status::ok) {
        co_await caller.respond(std::move(when_ok));
        co_return;
    }
    const error why = call_error(status);
    co_await answer_error(caller, job, why);
}

net::task<> job_front::submit(net::server_exchange& caller, caller_request request,
                              const config::serving_route& route, std::string customer) {
    jobs::job_call call;
    call.kind = jobs::call_kind::submit;
    call.job = request.id;
    call.customer = std::move(customer);
    call.route = route.name;
    call.host = request.host;
    call.body = std::move(request.content.body);
    const std::string job = call.job;
    const jobs::job_reply reply = co_await answer(std::move(call), call_path::from_caller);
    if (reply.status == jobs::reply_status::ok) {
        net::http_response accepted;
        accepted.status = 202;
        co_await caller.respond(std::move(accepted));
        co_return;
    }
    const error why = submission_error(reply.status);
    co_await answer_error(caller, job, why);
}

net::task<jobs::job_reply> job_front::read_from_store(jobs::job_call call) {
    jobs::job_reply reply;
    const result<std::optional<jobs::versioned_state>> known = co_await m_repository.read(call.job);
    if (!known) {
        co_return reply;
    }
    if (!known.value() || known.value()->state.customer != call.customer) {
        reply.status = jobs::reply_status::not_found;
        co_return reply;
    }
    if (call.kind == jobs::call_kind::read) {
        const result<std::vector<listed_result>> results =
            co_await m_repository.read_results(call.job);
        if (results) {
            reply.status = jobs::reply_status::ok;
            reply.page = jobs::make_page(known.value()->state, results.value(), call.after);
        }
        co_return reply;
    }
    const result<std::vector<submitted_item>> items = co_await m_repository.read_items(call.job);
    if (!items) {
        co_return reply;
    }
    reply.status = jobs::reply_status::not_found;
    for (const submitted_item& item : items.value()) {
        if (item.id == call.item) {
            reply.status = jobs::reply_status::ok;
            reply.body = item.body;
        }
    }
    co_return reply;
}

net::task<jobs::job_reply> job_front::end_in_store(jobs::job_call call) {
    jobs::job_reply reply;
    const result<bool> ended =
        co_await m_repository.end(call.job, call.customer, m_context.clock() + store_timeout);
    if (ended) {
        reply.status = ended.value() ? jobs::reply_status::ok : jobs::reply_status::not_found;
    }
    co_return reply;
}

net::task<jobs::job_reply> job_front::answer(jobs::job_call call, call_path how) {
    jobs::job_reply reply = co_await ask(call, how);
    const bool unavailable = reply.status == jobs::reply_status::unavailable;
    const bool unsure = unavailable || reply.status == jobs::reply_status::unknown;
    switch (call.kind) {
    case jobs::call_kind::read:
    case jobs::call_kind::read_item:
        if (unsure) {
            reply = co_await read_from_store(std::move(call));
        }
        break;
    case jobs::call_kind::end:
        if (unavailable) {
            reply = co_await end_in_store(std::move(call));
        }
        break;
    case jobs::call_kind::submit:
    case jobs::call_kind::adopt:
        break;
    }
    co_return reply;
}

net::task<> job_front::read(net::server_exchange& caller, job_read call, std::string customer) {
    jobs::job_call query;
    query.kind = jobs::call_kind::read;
    query.job = call.job;
    query.customer = std::move(customer);
    query.after = call.after;
    query.wait_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(call.wait).count());
    const jobs::job_reply reply = co_await answer(std::move(query), call_path::from_caller);
    net::http_response response = m_context.wire.encode_results(reply.page);
    co_await answer_call(caller, call.job, reply.status, std::move(response));
}

net::task<> job_front::read_item(net::server_exchange& caller, item_read call,
                                 std::string customer) {
    jobs::job_call query;
    query.kind = jobs::call_kind::read_item;
    query.job = call.job;
    query.customer = std::move(customer);
    query.item = call.item;
    jobs::job_reply reply = co_await answer(std::move(query), call_path::from_caller);
    net::http_response response;
    response.status = 200;
    response.headers.set("Content-Type", "application/octet-stream");
    response.body = std::move(reply.body);
    co_await answer_call(caller, call.job, reply.status, std::move(response));
}

net::task<> job_front::end(net::server_exchange& caller, job_end call, std::string customer) {
    jobs::job_call query;
    query.kind = jobs::call_kind::end;
    query.job = call.job;
    query.customer = std::move(customer);
    const jobs::job_reply reply = co_await answer(std::move(query), call_path::from_caller);
    net::http_response response;
    response.status = 200;
    co_await answer_call(caller, call.job, reply.status, std::move(response));
}

net::task<> job_front::handle(net::server_exchange& caller, caller_call call,
                              std::string customer) {
    if (auto* reading = std::get_if<job_read>(&call)) {
        co_await read(caller, std::move(*reading), std::move(customer));
    } else if (auto* item = std::get_if<item_read>(&call)) {
        co_await read_item(caller, std::move(*item), std::move(customer));
    } else if (auto* ending = std::get_if<job_end>(&call)) {
        co_await end(caller, std::move(*ending), std::move(customer));
    }
}

} // namespace eelgrassdoor::entry
