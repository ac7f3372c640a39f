#include "jobs/job_runner.hpp"

#include "jobs/result_size.hpp"

#include <algorithm>

namespace eelgrassdoor::jobs {

namespace {

/// Shorter than the time in which callers expect the acknowledgement of a job.
constexpr duration create_timeout = milliseconds(2500);
/// How long a read waits for a commit in flight before it reads from the store. A commit usually
/// takes a few milliseconds.
constexpr duration commit_wait = milliseconds(250);

/// Longest id of a job, in bytes: the keys that contain it have at most 200.
constexpr std::size_t max_job_id_bytes = 160;

/// Whether the job can be stored, and the results of its items listed: an item or its id may be too
/// long for one value.
bool is_storable(const std::string& job, const std::vector<serving::submitted_item>& items,
                 std::size_t max_value_bytes) {
    const auto fits = [max_value_bytes](const serving::submitted_item& item) {
        return stored_size(item) + value_frame_bytes <= max_value_bytes &&
               listed_size(item.id) <= max_response_bytes / 2;
    };
    return job.size() <= max_job_id_bytes && std::all_of(items.begin(), items.end(), fits);
}

job_reply make_reply(reply_status status) {
    job_reply reply;
    reply.status = status;
    return reply;
}

} // namespace

job_runner::job_runner(serving::service_context& context, job_repository& repository,
                       runner_options options)
    : m_context(context), m_repository(repository), m_options(std::move(options)),
      m_table(context, m_options), m_owners(m_options.self.host),
      m_ownership(context, m_options, repository, m_table),
      m_committer(context, m_options, repository, m_table),
      m_dispatcher(context, m_options, m_table) {
    m_committer.hand_over_jobs = [this] { return m_ownership.hand_over_jobs(); };
    m_committer.reload = [this](versioned_state record) {
        return m_ownership.load(std::move(record));
    };
    m_ownership.resolve_conflict = [this](std::string job) {
        return m_committer.resolve_conflict(std::move(job));
    };
}

void job_runner::start() {
    m_dispatcher.start();
    m_committer.start();
    m_ownership.start();
}

void job_runner::on_load_change() {
    if (!m_table.running.empty() || !m_table.all().empty()) {
        m_table.dispatch_wake.notify();
    }
}

void job_runner::start_draining() {
    m_table.draining = true;
    for (const item_run_ptr& running : m_table.running) {
        running->stop();
    }
    m_table.commit_wake.notify();
}

net::task<job_reply> job_runner::handle(job_call call, reserve_fn reserve) {
    switch (call.kind) {
    case call_kind::submit:
        co_return co_await submit(std::move(call));
    case call_kind::read:
        co_return co_await read(std::move(call), std::move(reserve));
    case call_kind::read_item:
        co_return co_await read_item(std::move(call), std::move(reserve));
    case call_kind::cancel:
        co_return co_await cancel(std::move(call));
    case call_kind::adopt:
        m_table.adopt_wake.notify();
        co_return make_reply(reply_status::ok);
    }
    co_return make_reply(reply_status::invalid);
}

net::task<job_reply> job_runner::submit(job_call call) {
    if (m_table.find(call.job)) {
        co_return make_reply(reply_status::ok);
    }
    const std::string job = call.job;
    job_reply reply = co_await create(std::move(call));
    const bool is_promise =
        reply.status == reply_status::unavailable || reply.status == reply_status::invalid;
    if (is_promise && m_ownership.may_be_created(job)) {
        reply.status = reply_status::unknown;
    }
    co_return reply;
}

net::task<job_reply> job_runner::refuse(const std::string& job) {
    const result<change_outcome> refused =
        co_await m_repository.refuse(job, m_context.clock() + create_timeout);
    if (!refused) {
        co_return make_reply(reply_status::unknown);
    }
    if (refused.value() == change_outcome::conflict) {
        // A resubmission of a job that was accepted before.
        co_return make_reply(reply_status::ok);
    }
    m_ownership.settle_creation(job);
    co_return make_reply(reply_status::refused);
}

net::task<job_reply> job_runner::create(job_call call) {
    if (m_table.draining || !m_options.registration_valid()) {
        co_return make_reply(reply_status::unavailable);
    }
    const config::serving_plan_ptr plan = m_context.plan;
    const config::serving_route* route = plan ? plan->find_route(call.route) : nullptr;
    if (route == nullptr) {
        co_return make_reply(reply_status::unavailable);
    }
    result<std::vector<serving::submitted_item>> items =
        m_context.codec.decode_submission(call.body);
    if (!items) {
        co_return make_reply(reply_status::invalid);
    }
    if (!is_storable(call.job, items.value(), m_options.max_value_bytes)) {
        co_return make_reply(reply_status::invalid);
    }
    job_state state{.job = call.job,
                    .customer = call.customer,
                    .route = call.route,
                    .host = call.host,
                    .owner = m_options.self.host,
                    .owner_incarnation = m_options.self.incarnation,
                    .epoch = 1,
                    .items = items.value().size(),
                    .submitted_at = m_options.wall_clock()};
    for (const serving::submitted_item& item : items.value()) {
        state.tokens += item.tokens;
    }
    const std::uint64_t key = backlog_key(state.customer, state.route);
    const std::uint64_t max_tokens = route->jobs.max_waiting_tokens;
    // The tokens of an earlier attempt that may still create the job are counted already.
    const bool is_repeated = m_ownership.may_be_created(call.job);
    const std::uint64_t waiting_tokens =
        m_table.waiting_tokens(key) +
        m_context.messenger.peer_waiting_tokens(
            key, [this](std::string_view host, std::uint64_t incarnation) {
                return m_ownership.may_own_jobs(host, incarnation);
            });
    if (max_tokens > 0 && waiting_tokens + (is_repeated ? 0 : state.tokens) > max_tokens) {
        co_return co_await refuse(call.job);
    }
    m_ownership.begin_creation(call.job, key, state.tokens);
    std::uint64_t revision = 0;
    const result<change_outcome> created = co_await m_repository.create(
        state, encode_items(items.value()), m_context.clock() + create_timeout, revision);
    if (!created && created.error().run != run_state::not_run) {
        m_ownership.track_unconfirmed_creation(call.job);
        co_return make_reply(reply_status::unknown);
    }
    const bool is_done = created && created.value() == change_outcome::done;
    if (is_done || !is_repeated) {
        m_ownership.settle_creation(call.job);
    }
    if (!created) {
        co_return make_reply(reply_status::unavailable);
    }
    if (is_done && !m_table.find(call.job)) {
        m_context.log.write(observe::event::job_accepted, call.job,
                            {{"customer", state.customer},
                             {"items", std::to_string(state.items)},
                             {"waiting_tokens", std::to_string(waiting_tokens)}});
        m_table.add({std::move(state), revision}, std::move(items.value()), {});
    }
    co_return make_reply(reply_status::ok);
}

net::task<job_reply> job_runner::read(job_call call, reserve_fn reserve) {
    const time_point called_at = m_context.clock();
    const time_point wait_until = called_at + milliseconds(call.wait_ms);
    const time_point commit_until = called_at + commit_wait;
    for (;;) {
        const job_ptr job = m_table.find(call.job);
        const bool commit_in_flight = job && job->last_change() == change_state::in_flight;
        if (commit_in_flight && m_context.clock() < commit_until) {
            co_await m_table.wait_for_results(commit_until);
            continue;
        }
        if (const std::optional<job_reply> moved = redirect_for(call.job);
            moved && !job && !call.redirected) {
            co_return *moved;
        }
        if (!job || !m_table.is_authoritative(*job)) {
            co_return co_await read_from_store(std::move(call), std::move(reserve));
        }
        if (job->record().state.customer != call.customer) {
            co_return make_reply(reply_status::not_found);
        }
        const bool has_more = job->committed_results().size() > call.after;
        if (has_more || job->finished() || m_context.clock() >= wait_until) {
            job_reply reply = make_reply(reply_status::ok);
            reply.page = make_page(job->record().state, job->committed_results(), call.after,
                                   call.max_page_bytes);
            co_return reply;
        }
        co_await m_table.wait_for_results(wait_until);
    }
}

std::optional<job_reply> job_runner::redirect_for(const std::string& job) const {
    const auto is_reachable = [this](std::string_view host) {
        return m_context.messenger.heard_within(host, routing::fleet_load::peer_load_lifetime);
    };
    std::optional<std::string> endpoint =
        m_owners.endpoint_of(job, m_context.messenger.members(), is_reachable);
    if (!endpoint) {
        return std::nullopt;
    }
    job_reply reply = make_reply(reply_status::moved);
    reply.owner_endpoint = std::move(*endpoint);
    return reply;
}

net::task<job_runner::lookup> job_runner::look_up(job_call call) {
    lookup found;
    const result<std::optional<versioned_state>> stored_record =
        co_await m_repository.read(call.job);
    if (!stored_record) {
        found.reply = make_reply(reply_status::unavailable);
        co_return found;
    }
    if (!stored_record.value() || stored_record.value()->state.customer != call.customer) {
        found.reply = make_reply(reply_status::not_found);
        co_return found;
    }
    found.state = stored_record.value()->state;
    m_owners.record(found.state);
    found.reply = redirect_for(call.job);
    co_return found;
}

net::task<job_reply> job_runner::read_from_store(job_call call, reserve_fn reserve) {
    const lookup found = co_await look_up(call);
    if (found.reply) {
        co_return *found.reply;
    }
    if (!reserve(store_read_bytes)) {
        co_return make_reply(reply_status::unavailable);
    }
    result<serving::result_page> page =
        co_await m_repository.read_page(found.state, call.after, call.max_page_bytes);
    if (!page) {
        co_return make_reply(reply_status::unavailable);
    }
    job_reply reply = make_reply(reply_status::ok);
    reply.page = std::move(page.value());
    co_return reply;
}

net::task<job_reply> job_runner::read_item(job_call call, reserve_fn reserve) {
    if (const job_ptr job = m_table.find(call.job)) {
        const owned_item* item = job->find(call.item);
        if (job->record().state.customer != call.customer || item == nullptr) {
            co_return make_reply(reply_status::not_found);
        }
        job_reply reply = make_reply(reply_status::ok);
        reply.body = item->content.body;
        co_return reply;
    }
    if (const std::optional<job_reply> moved = redirect_for(call.job); moved && !call.redirected) {
        co_return *moved;
    }
    const lookup found = co_await look_up(call);
    if (found.reply) {
        co_return *found.reply;
    }
    if (!reserve(store_read_bytes)) {
        co_return make_reply(reply_status::unavailable);
    }
    result<std::optional<std::string>> body =
        co_await m_repository.read_item_body(call.job, call.item);
    if (!body) {
        co_return make_reply(reply_status::unavailable);
    }
    job_reply reply = make_reply(body.value() ? reply_status::ok : reply_status::not_found);
    reply.body = std::move(body.value()).value_or(std::string());
    co_return reply;
}

net::task<job_reply> job_runner::cancel(job_call call) {
    const result<bool> cancelled =
        co_await m_repository.cancel(call.job, call.customer, m_context.clock() + create_timeout);
    if (!cancelled) {
        co_return make_reply(reply_status::unknown);
    }
    if (cancelled.value()) {
        m_table.mark_cancelled(call.job);
    }
    co_return make_reply(cancelled.value() ? reply_status::ok : reply_status::not_found);
}

} // namespace eelgrassdoor::jobs
