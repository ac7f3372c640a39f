#include "jobs/job_runner.hpp"

namespace eelgrassdoor::jobs {

namespace {

/// Within the time in which callers expect the acknowledgement of a job.
constexpr duration create_timeout = milliseconds(2500);
/// How long a read waits for the answer to a commit that is under way before it asks the store
/// itself: an answer mostly takes a few milliseconds.
constexpr duration commit_wait = milliseconds(250);

job_reply reply_of(reply_status status) {
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
    m_committer.release = [this] { return m_ownership.release_jobs(); };
    m_committer.reload = [this](versioned_state record) {
        return m_ownership.load(std::move(record));
    };
    m_ownership.settle_race = [this](std::string job) {
        return m_committer.settle_race(std::move(job));
    };
}

void job_runner::start() {
    m_dispatcher.start();
    m_committer.start();
    m_ownership.start();
}

void job_runner::note_load() {
    if (!m_table.running.empty() || !m_table.all().empty()) {
        m_table.dispatch_wake.notify();
    }
}

void job_runner::release_all() {
    m_table.releasing = true;
    for (const running_ptr& running : m_table.running) {
        running->stop();
    }
    m_table.commit_wake.notify();
}

net::task<job_reply> job_runner::handle(job_call call) {
    switch (call.kind) {
    case call_kind::submit:
        co_return co_await submit(std::move(call));
    case call_kind::read:
        co_return co_await read(std::move(call));
    case call_kind::read_item:
        co_return co_await read_item(std::move(call));
    case call_kind::end:
        co_return co_await end(std::move(call));
    case call_kind::adopt:
        m_table.adopt_wake.notify();
        co_return reply_of(reply_status::ok);
    }
    co_return reply_of(reply_status::invalid);
}

net::task<job_reply> job_runner::submit(job_call call) {
    if (m_table.find(call.job)) {
        co_return reply_of(reply_status::ok);
    }
    if (m_table.releasing || !m_options.registration_valid()) {
        co_return reply_of(reply_status::unavailable);
    }
    const config::serving_plan_ptr plan = m_context.plan;
    const config::serving_route* route = plan ? plan->find_route(call.route) : nullptr;
    if (route == nullptr) {
        co_return reply_of(reply_status::unavailable);
    }
    result<std::vector<serving::submitted_item>> items =
        m_context.codec.decode_submission(call.body);
    if (!items) {
        co_return reply_of(reply_status::invalid);
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
    const std::uint64_t key = waiting_key(state.customer, state.route);
    const std::uint64_t most = route->jobs.max_waiting_tokens;
    const std::uint64_t waiting = m_table.waiting(key) + m_context.link.waiting_elsewhere(key);
    if (most > 0 && waiting + state.tokens > most) {
        // A resent job that was accepted before is not refused.
        const result<std::optional<versioned_state>> known = co_await m_repository.read(call.job);
        if (!known) {
            co_return reply_of(reply_status::unavailable);
        }
        co_return reply_of(known.value() ? reply_status::ok : reply_status::refused);
    }
    m_table.reserve(key, state.tokens);
    std::uint64_t revision = 0;
    const result<change_outcome> created = co_await m_repository.create(
        state, encode_items(items.value()), m_context.clock() + create_timeout, revision);
    m_table.release(key, state.tokens);
    if (!created) {
        if (created.error().run == run_state::not_run) {
            co_return reply_of(reply_status::unavailable);
        }
        m_ownership.look_for(call.job);
        co_return reply_of(reply_status::unknown);
    }
    if (created.value() == change_outcome::done && !m_table.find(call.job)) {
        m_context.log.write(observe::event::job_accepted, call.job,
                            {{"customer", state.customer},
                             {"items", std::to_string(state.items)},
                             {"waiting_tokens", std::to_string(waiting)}});
        m_table.own({std::move(state), revision}, std::move(items.value()), {});
    }
    co_return reply_of(reply_status::ok);
}

net::task<job_reply> job_runner::read(job_call call) {
    const time_point asked_at = m_context.clock();
    const time_point wait_until = asked_at + milliseconds(call.wait_ms);
    const time_point commit_until = asked_at + commit_wait;
    for (;;) {
        const job_ptr job = m_table.find(call.job);
        const bool commits = job && job->last_change() == change_state::under_way;
        if (commits && m_context.clock() < commit_until) {
            co_await m_table.wait_for_results(commit_until);
            continue;
        }
        if (const std::optional<job_reply> moved = moved_to(call.job);
            moved && !job && !call.redirected) {
            co_return *moved;
        }
        if (!job || !m_table.is_certain(*job)) {
            co_return co_await read_from_store(std::move(call));
        }
        if (job->record().state.customer != call.customer) {
            co_return reply_of(reply_status::not_found);
        }
        const bool has_more = job->listed().size() > call.after;
        if (has_more || job->finished() || m_context.clock() >= wait_until) {
            job_reply reply = reply_of(reply_status::ok);
            reply.page = make_page(job->record().state, job->listed(), call.after);
            co_return reply;
        }
        co_await m_table.wait_for_results(wait_until);
    }
}

std::optional<job_reply> job_runner::moved_to(const std::string& job) const {
    const auto is_heard = [this](std::string_view host) {
        return m_context.link.heard_within(host, routing::fleet_load::peer_load_lifetime);
    };
    std::optional<std::string> endpoint =
        m_owners.endpoint_of(job, m_context.link.members(), is_heard);
    if (!endpoint) {
        return std::nullopt;
    }
    job_reply reply = reply_of(reply_status::moved);
    reply.owner_endpoint = std::move(*endpoint);
    return reply;
}

net::task<job_runner::lookup> job_runner::look_up(job_call call) {
    lookup found;
    const result<std::optional<versioned_state>> known = co_await m_repository.read(call.job);
    if (!known) {
        found.reply = reply_of(reply_status::unavailable);
        co_return found;
    }
    if (!known.value() || known.value()->state.customer != call.customer) {
        found.reply = reply_of(reply_status::not_found);
        co_return found;
    }
    found.state = known.value()->state;
    m_owners.note(found.state);
    found.reply = moved_to(call.job);
    co_return found;
}

net::task<job_reply> job_runner::read_from_store(job_call call) {
    const lookup found = co_await look_up(call);
    if (found.reply) {
        co_return *found.reply;
    }
    const result<std::vector<serving::item_result>> results =
        co_await m_repository.read_results(call.job);
    if (!results) {
        co_return reply_of(reply_status::unavailable);
    }
    job_reply reply = reply_of(reply_status::ok);
    reply.page = make_page(found.state, results.value(), call.after);
    co_return reply;
}

net::task<job_reply> job_runner::read_item(job_call call) {
    if (const job_ptr job = m_table.find(call.job)) {
        const owned_item* item = job->find(call.item);
        if (job->record().state.customer != call.customer || item == nullptr) {
            co_return reply_of(reply_status::not_found);
        }
        job_reply reply = reply_of(reply_status::ok);
        reply.body = item->content.body;
        co_return reply;
    }
    if (const std::optional<job_reply> moved = moved_to(call.job); moved && !call.redirected) {
        co_return *moved;
    }
    const lookup found = co_await look_up(call);
    if (found.reply) {
        co_return *found.reply;
    }
    const result<std::vector<serving::submitted_item>> items =
        co_await m_repository.read_items(call.job);
    if (!items) {
        co_return reply_of(reply_status::unavailable);
    }
    for (const serving::submitted_item& item : items.value()) {
        if (item.id == call.item) {
            job_reply reply = reply_of(reply_status::ok);
            reply.body = item.body;
            co_return reply;
        }
    }
    co_return reply_of(reply_status::not_found);
}

net::task<job_reply> job_runner::end(job_call call) {
    const result<bool> ended =
        co_await m_repository.end(call.job, call.customer, m_context.clock() + create_timeout);
    if (!ended) {
        co_return reply_of(reply_status::unknown);
    }
    if (ended.value()) {
        m_table.note_ended(call.job);
    }
    co_return reply_of(ended.value() ? reply_status::ok : reply_status::not_found);
}

} // namespace eelgrassdoor::jobs
