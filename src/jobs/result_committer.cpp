#include "jobs/result_committer.hpp"

#include "jobs/result_size.hpp"

namespace eelgrassdoor::jobs {

namespace {

/// Delay before a commit, so that one write to the store carries several results.
constexpr duration commit_interval = milliseconds(300);
/// Limit for the results in one commit; the store allows 1 MB per value.
constexpr std::size_t max_commit_bytes = 400 * 1024;

} // namespace

result_committer::result_committer(serving::service_context& context, const runner_options& options,
                                   job_repository& repository, job_table& table)
    : m_context(context), m_options(options), m_repository(repository), m_table(table) {}

void result_committer::start() {
    net::asio::co_spawn(m_context.executor, commit_loop(), net::asio::detached);
}

net::task<> result_committer::commit_loop() {
    for (;;) {
        co_await m_table.commit_wake.wait_until(time_point::max());
        co_await net::sleep_for(commit_interval);
        co_await confirm_jobs();
        co_await commit_results();
        if (m_table.draining) {
            co_await hand_over_jobs();
        }
    }
}

net::task<> result_committer::confirm_jobs() {
    if (!m_table.registration_generation()) {
        co_return;
    }
    const std::map<std::string, job_ptr, std::less<>> jobs = m_table.all();
    for (const auto& [id, job] : jobs) {
        if (!m_table.is_authoritative(*job)) {
            co_await resolve_conflict(id);
        }
    }
}

std::vector<result_batch> result_committer::next_batches() const {
    std::vector<result_batch> batches;
    std::size_t bytes = 0;
    for (const auto& [id, job] : m_table.all()) {
        if (job->uncommitted().empty() || job->record().state.cancelled ||
            batches.size() == job_repository::max_append_jobs || bytes > max_commit_bytes) {
            continue;
        }
        result_batch batch{job->record(), {}};
        for (const serving::item_result& each : job->uncommitted()) {
            if (!batch.results.empty() && bytes + stored_size(each) > max_commit_bytes) {
                break;
            }
            bytes += stored_size(each);
            batch.results.push_back(each);
        }
        batches.push_back(std::move(batch));
    }
    return batches;
}

net::task<result<change_outcome>> result_committer::send(std::vector<result_batch>& batches) {
    std::vector<job_ptr> jobs;
    std::vector<change_state> before;
    for (const result_batch& batch : batches) {
        job_ptr job = m_table.find(batch.before.state.job);
        before.push_back(job->last_change());
        if (job->last_change() == change_state::settled) {
            job->set_last_change(change_state::in_flight);
        }
        jobs.push_back(std::move(job));
    }
    result<change_outcome> outcome =
        co_await m_repository.append(batches, m_context.clock() + commit_timeout);
    for (std::size_t i = 0; i < batches.size(); ++i) {
        if (outcome && outcome.value() == change_outcome::done) {
            jobs[i]->mark_committed(batches[i].results.size(), batches[i].before);
        } else if (!outcome && outcome.error().run == run_state::not_run) {
            jobs[i]->set_last_change(before[i]);
        } else {
            jobs[i]->set_last_change(change_state::unknown);
        }
    }
    m_table.wake_readers();
    co_return outcome;
}

net::task<> result_committer::commit_results() {
    for (;;) {
        std::vector<result_batch> batches = next_batches();
        if (batches.empty()) {
            co_return;
        }
        const result<change_outcome> outcome = co_await send(batches);
        if (outcome && outcome.value() == change_outcome::done) {
            continue;
        }
        // A conflict or refusal concerns some of the jobs; the others must not wait for them. After
        // another failure all results are sent again with the next ones.
        const bool concerns_some = outcome || is_refused_for_good(outcome.error());
        if (concerns_some) {
            for (result_batch& batch : batches) {
                co_await commit_single(std::move(batch));
            }
        }
        // What could not be committed is tried again after the commit interval.
        m_table.commit_wake.notify();
        co_return;
    }
}

net::task<> result_committer::commit_single(result_batch batch) {
    const std::string id = batch.before.state.job;
    if (!m_table.find(id)) {
        co_return;
    }
    std::vector<result_batch> one{std::move(batch)};
    const result<change_outcome> outcome = co_await send(one);
    if (outcome && outcome.value() == change_outcome::conflict) {
        co_await resolve_conflict(id);
    }
    if (!outcome && is_refused_for_good(outcome.error())) {
        co_await commit_each_result(id);
    }
}

net::task<> result_committer::commit_each_result(std::string id) {
    for (;;) {
        const job_ptr job = m_table.find(id);
        if (!job || job->uncommitted().empty() || job->record().state.cancelled) {
            co_return;
        }
        const std::string item = job->uncommitted().front().item;
        std::vector<result_batch> one{{job->record(), {job->uncommitted().front()}}};
        const result<change_outcome> outcome = co_await send(one);
        if (outcome && outcome.value() == change_outcome::done) {
            continue;
        }
        const bool is_refused = !outcome && is_refused_for_good(outcome.error());
        if (!is_refused || !job->withdraw_result()) {
            // A conflict is resolved with the next commit.
            co_return;
        }
        m_context.log.write(observe::event::result_withdrawn, item,
                            {{"job", id}, {"reason", outcome.error().message}});
        m_table.dispatch_wake.notify();
    }
}

net::task<> result_committer::resolve_conflict(std::string id) {
    result<std::optional<versioned_state>> current = co_await m_repository.read(id);
    if (!current) {
        co_return;
    }
    const job_ptr job = m_table.find(id);
    if (!job) {
        co_return;
    }
    const bool still_owner = current.value() &&
                             current.value()->state.owner == m_options.self.host &&
                             current.value()->state.epoch == job->record().state.epoch;
    if (!still_owner) {
        m_table.drop(id, "another daemon owns the job");
        m_table.adopt_wake.notify();
        co_return;
    }
    if (current.value()->state.cancelled) {
        m_table.mark_cancelled(id);
    }
    if (current.value()->state.committed_count != job->committed_results().size()) {
        // An earlier commit of unknown outcome took effect.
        const bool merged = co_await merge_stored_results(job, *current.value());
        if (!merged) {
            co_return;
        }
    }
    job->update_record(std::move(*current.value()));
    job->confirm(m_options.registration_generation());
    m_table.wake_readers();
}

net::task<bool> result_committer::merge_stored_results(job_ptr job, versioned_state record) {
    const std::string id = record.state.job;
    const result<std::vector<serving::item_result>> stored = co_await m_repository.read_results(id);
    const bool readable = stored && stored.value().size() == record.state.committed_count;
    if (!readable) {
        co_return false;
    }
    if (job->merge_stored(record, stored.value())) {
        co_return true;
    }
    m_table.drop(id, "the store has other results from an earlier commit");
    co_await reload(std::move(record));
    co_return false;
}

} // namespace eelgrassdoor::jobs
