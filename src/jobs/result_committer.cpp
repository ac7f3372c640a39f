#include "jobs/result_committer.hpp"

namespace eelgrassdoor::jobs {

namespace {

/// Results wait this long for others, so that one write to the store carries several.
constexpr duration commit_interval = milliseconds(300);
/// Bytes of results in one commit; a value of the store holds a megabyte.
constexpr std::size_t max_commit_bytes = 400 * 1024;
/// Jobs in one commit: two entries each.
constexpr std::size_t max_commit_jobs = store::max_transaction_entries / 2 - 1;

} // namespace

result_committer::result_committer(serving::host_context& context, const runner_options& options,
                                   job_repository& repository, job_table& table)
    : m_context(context), m_options(options), m_repository(repository), m_table(table) {}

void result_committer::start() {
    net::asio::co_spawn(m_context.executor, commit_loop(), net::asio::detached);
}

net::task<> result_committer::commit_loop() {
    for (;;) {
        co_await m_table.commit_wake.wait_until(time_point::max());
        co_await net::sleep_for(commit_interval);
        co_await commit_results();
        if (m_table.releasing) {
            co_await release();
        }
    }
}

net::task<> result_committer::commit_results() {
    for (;;) {
        std::vector<result_batch> batches;
        std::size_t bytes = 0;
        for (const auto& [id, job] : m_table.all()) {
            if (job->uncommitted().empty() || job->record().state.ended ||
                batches.size() == max_commit_jobs || bytes > max_commit_bytes) {
                continue;
            }
            result_batch batch{job->record(), {}};
            for (const serving::listed_result& each : job->uncommitted()) {
                if (!batch.results.empty() && bytes + each.output.size() > max_commit_bytes) {
                    break;
                }
                bytes += each.output.size();
                batch.results.push_back(each);
            }
            batches.push_back(std::move(batch));
        }
        if (batches.empty()) {
            co_return;
        }
        const result<change_outcome> outcome =
            co_await m_repository.append(batches, m_context.clock() + commit_timeout);
        if (!outcome) {
            // The results stay uncommitted and are tried again with the next ones.
            m_table.commit_wake.notify();
            co_return;
        }
        if (outcome.value() == change_outcome::lost_race) {
            for (result_batch& batch : batches) {
                co_await commit_alone(std::move(batch));
            }
            continue;
        }
        for (const result_batch& batch : batches) {
            if (const job_ptr job = m_table.find(batch.before.state.job)) {
                job->note_committed(batch.results.size(), batch.before);
            }
        }
        m_table.wake_readers();
    }
}

net::task<> result_committer::commit_alone(result_batch batch) {
    const std::string id = batch.before.state.job;
    std::vector<result_batch> one{std::move(batch)};
    const result<change_outcome> outcome =
        co_await m_repository.append(one, m_context.clock() + commit_timeout);
    if (!outcome) {
        co_return;
    }
    if (outcome.value() == change_outcome::lost_race) {
        co_await settle_race(id);
        co_return;
    }
    if (const job_ptr job = m_table.find(id)) {
        job->note_committed(one.front().results.size(), one.front().before);
        m_table.wake_readers();
    }
}

net::task<> result_committer::settle_race(std::string id) {
    const result<std::optional<versioned_state>> now = co_await m_repository.read(id);
    if (!now) {
        co_return;
    }
    const job_ptr job = m_table.find(id);
    if (!job) {
        co_return;
    }
    const bool still_ours = now.value() && now.value()->state.owner == m_options.self.host &&
                            now.value()->state.epoch == job->record().state.epoch;
    if (!still_ours) {
        m_table.drop(id, "another daemon owns the job");
        co_return;
    }
    if (now.value()->state.ended) {
        m_table.note_ended(id);
    }
    if (now.value()->state.listed != job->listed().size()) {
        // An earlier commit took effect after its outcome was given up: read what it listed.
        m_table.drop(id, "results were listed by an earlier commit");
        co_await reload(*now.value());
        co_return;
    }
    job->record() = *now.value();
    job->confirm(m_options.registration_number());
}

} // namespace eelgrassdoor::jobs
